package masticdaemon

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"masticladder/masticsettings"
)

// NewLog returns a log that writes to w as the settings state.
func NewLog(s masticsettings.Log, w io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	if s.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return l, nil
}
