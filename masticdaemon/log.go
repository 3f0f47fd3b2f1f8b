package masticdaemon

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"masticladder/masticsettings"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLog returns a logger that writes to w with the level and format of s. It fails on an unknown
// level.
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
