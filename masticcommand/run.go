package masticcommand

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"masticladder/masticdaemon"
	"masticladder/masticsettings"
)

const runHelp = `Runs a host: entry, control or both, as its settings state.

Example:
  masticladder run --settings host.jsonc

It prints one JSON line when it serves. SIGTERM drains: the host leaves the address list, keeps serving
until every address list handed out has expired, finishes the requests that run and exits. SIGINT and
SIGHUP do the same, and a second SIGINT ends it within 2 s.

` + exitCodeHelp

type runCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
}

// Execute runs the host until signals stop it.
func (r *runCommand) Execute([]string) error {
	settings, err := masticsettings.Read(r.Settings)
	if err != nil {
		return err
	}
	log, err := masticdaemon.NewLog(settings.Log, os.Stderr)
	if err != nil {
		return err
	}
	daemon, err := masticdaemon.New(settings, masticdaemon.WithLog(log))
	if err != nil {
		return err
	}
	handler := newSignalHandler(daemon, log)
	go handler.run()
	ready := readyLine{Ready: true, Listen: daemon.Listen(), Admin: daemon.Admin()}
	if err := json.NewEncoder(output).Encode(ready); err != nil {
		return err
	}
	err = daemon.Run()
	log.WithField("error", err).Info("stop")
	return err
}

// signalHandler drains the daemon on the first signal and ends it at once on a repeated SIGINT. A supervisor may repeat SIGTERM, and a terminal that closes sends SIGHUP.
type signalHandler struct {
	daemon  *masticdaemon.Daemon
	log     logrus.FieldLogger
	signals chan os.Signal
}

func newSignalHandler(d *masticdaemon.Daemon, log logrus.FieldLogger) *signalHandler {
	s := &signalHandler{daemon: d, log: log, signals: make(chan os.Signal, 2)}
	signal.Notify(s.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return s
}

func (s *signalHandler) run() {
	draining := false
	for x := range s.signals {
		s.log.WithField("signal", x.String()).Info("signal")
		if draining && x == syscall.SIGINT {
			s.daemon.End()
		}
		draining = true
		s.daemon.Drain()
	}
}
