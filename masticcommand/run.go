package masticcommand

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"masticladder/masticdaemon"
	"masticladder/masticsettings"
)

const runHelp = `Runs a host: entry, control or both, as its settings state.

Example:
  masticladder run --settings host.jsonc

It prints one JSON line when it serves. SIGTERM drains: the host leaves the address list, keeps
serving until every list handed out has run out, finishes what runs and exits. A second SIGTERM ends it.

` + exitCodeHelp

type runCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
}

// Execute runs the host until it is told to stop.
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
	watch := newDrainSignals(daemon)
	go watch.run()
	ready := readyLine{Ready: true, Listen: daemon.Listen(), Admin: daemon.Admin()}
	if err := json.NewEncoder(output).Encode(ready); err != nil {
		return err
	}
	return daemon.Run()
}

// drainSignals turns the first signal into a drain and the second into the end.
type drainSignals struct {
	daemon  *masticdaemon.Daemon
	signals chan os.Signal
}

func newDrainSignals(d *masticdaemon.Daemon) *drainSignals {
	s := &drainSignals{daemon: d, signals: make(chan os.Signal, 2)}
	signal.Notify(s.signals, syscall.SIGTERM, syscall.SIGINT)
	return s
}

func (s *drainSignals) run() {
	<-s.signals
	s.daemon.Drain()
	<-s.signals
	s.daemon.End()
}
