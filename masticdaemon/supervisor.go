package masticdaemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcontrol"
	"masticladder/masticstore"
)

// reopenDelay is the time before control is reopened after a disk failure. A full disk can
// fail all writes for seconds; reopening keeps the process's in-memory state, which would be lost
// if the process ended at each failure.
const reopenDelay = 500 * time.Millisecond

// controlSupervisor runs control and reopens it after a disk failure, so that the other components
// of the host continue to serve.
type controlSupervisor struct {
	open    func() (*masticcontrol.Control, error)
	log     logrus.FieldLogger
	stopped chan struct{}

	mutex    sync.Mutex
	current  *masticcontrol.Control
	stopping bool
}

func newControlSupervisor(c *masticcontrol.Control, open func() (*masticcontrol.Control, error), log logrus.FieldLogger) *controlSupervisor {
	return &controlSupervisor{open: open, log: log, stopped: make(chan struct{}), current: c}
}

// superviseControl opens control and returns its supervisor. A full disk does not keep the host from starting: control is opened once
// there is room.
func superviseControl(open func() (*masticcontrol.Control, error), log logrus.FieldLogger) (*controlSupervisor, error) {
	c, err := open()
	if err != nil && !masticstore.IsNoSpace(err) {
		return nil, err
	}
	if err != nil {
		log.WithError(err).Error("control not opened: the disk is full")
	}
	return newControlSupervisor(c, open, log), nil
}

// joined reports whether control is open, this host is a voter and the leader is known.
func (s *controlSupervisor) joined() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current != nil && s.current.Joined()
}

// run is the execute function of the supervisor's actor.
func (s *controlSupervisor) run() error {
	for {
		c, stopping := s.controlToRun()
		if stopping {
			return nil
		}
		var err error
		if c != nil {
			err = c.Run()
			s.setCurrent(nil)
		}
		if !s.reopen(err) {
			return nil
		}
	}
}

// controlToRun returns the open control, nil if it could not be opened, and whether stop was called.
func (s *controlSupervisor) controlToRun() (*masticcontrol.Control, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current, s.stopping
}

func (s *controlSupervisor) setCurrent(c *masticcontrol.Control) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.current = c
}

// reopen retries opening control every reopenDelay until it succeeds. Returns false if stop was
// called.
func (s *controlSupervisor) reopen(cause error) bool {
	for {
		select {
		case <-s.stopped:
			return false
		default:
		}
		// Control reports a full disk itself, once.
		if !masticstore.IsNoSpace(cause) {
			s.log.WithField("cause", cause).Error("control ended or failed to open; reopening")
		}
		timer := time.NewTimer(reopenDelay)
		select {
		case <-s.stopped:
			timer.Stop()
			return false
		case <-timer.C:
		}
		c, err := s.open()
		if err == nil {
			s.setCurrent(c)
			return true
		}
		cause = err
	}
}

func (s *controlSupervisor) stop(err error) {
	s.mutex.Lock()
	s.stopping = true
	c := s.current
	s.mutex.Unlock()
	close(s.stopped)
	if c != nil {
		c.Stop(err)
	}
}
