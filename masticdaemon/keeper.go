package masticdaemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcontrol"
)

// reopenPause is the time after which control is opened again whose disk failed. A full disk
// refused every write for seconds; ending the process each time only loses what it knows.
const reopenPause = 500 * time.Millisecond

// keeper runs control and opens it again when its disk failed, so that the rest of the host
// serves on.
type keeper struct {
	open    func() (*masticcontrol.Control, error)
	log     logrus.FieldLogger
	stopped chan struct{}

	mutex   sync.Mutex
	current *masticcontrol.Control
	ended   bool
}

func newKeeper(c *masticcontrol.Control, open func() (*masticcontrol.Control, error), log logrus.FieldLogger) *keeper {
	return &keeper{open: open, log: log, stopped: make(chan struct{}), current: c}
}

// joined reports whether control votes and knows the leader.
func (k *keeper) joined() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.current != nil && k.current.Joined()
}

// run is an actor.
func (k *keeper) run() error {
	for {
		c := k.take()
		if c == nil {
			return nil
		}
		err := c.Run()
		k.replace(nil)
		if !k.reopen(err) {
			return nil
		}
	}
}

// take returns control to run, or nil once stopped.
func (k *keeper) take() *masticcontrol.Control {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.ended {
		return nil
	}
	return k.current
}

func (k *keeper) replace(c *masticcontrol.Control) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.current = c
}

// reopen opens control again until that succeeds, and reports false once stopped.
func (k *keeper) reopen(cause error) bool {
	for {
		select {
		case <-k.stopped:
			return false
		default:
		}
		k.log.WithField("cause", cause).Error("control has ended; it is opened again")
		timer := time.NewTimer(reopenPause)
		select {
		case <-k.stopped:
			timer.Stop()
			return false
		case <-timer.C:
		}
		c, err := k.open()
		if err == nil {
			k.replace(c)
			return true
		}
		cause = err
	}
}

func (k *keeper) stop(err error) {
	k.mutex.Lock()
	k.ended = true
	c := k.current
	k.mutex.Unlock()
	close(k.stopped)
	if c != nil {
		c.Stop(err)
	}
}
