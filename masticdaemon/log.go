package masticdaemon

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"masticladder/masticsettings"
)

// timeFormat writes times to the millisecond.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLog returns a log that writes to w as the settings state.
func NewLog(s masticsettings.Log, w io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: timeFormat})
	if s.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	}
	return l, nil
}
