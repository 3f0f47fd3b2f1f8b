package masticdaemon

import (
	"time"

	"masticladder/masticbackend"
)

const (
	// sweepInterval is the time between two checks for idle connections.
	sweepInterval = time.Second
)

// idleConnectionSweeper closes idle connections to backend servers.
type idleConnectionSweeper struct {
	client  *masticbackend.Client
	stopped chan struct{}
}

// run is the execute function of the sweeper's actor.
func (s *idleConnectionSweeper) run() error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return nil
		case now := <-ticker.C:
			s.client.CloseIdle(now)
		}
	}
}

func (s *idleConnectionSweeper) stop(error) { close(s.stopped) }
