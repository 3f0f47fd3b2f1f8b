package masticdaemon

import (
	"time"

	"masticladder/masticbackend"
)

const (
	// sweepInterval is the time between two looks for connections to close.
	sweepInterval = time.Second
)

// sweeper closes connections to backend servers that were unused for long.
type sweeper struct {
	client  *masticbackend.Client
	stopped chan struct{}
}

// run is an actor.
func (s *sweeper) run() error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return nil
		case now := <-ticker.C:
			s.client.Sweep(now)
		}
	}
}

func (s *sweeper) stop(error) { close(s.stopped) }
