package masticgate

import (
	"context"
	"sync"
)

// drainState counts the running requests of a host that may be shutting down.
type drainState struct {
	mu sync.Mutex
	// leaving reports that responses announce the end of their connections.
	leaving  bool
	draining bool
	running  int
	// idle is closed and set to nil when the last running request ends. Wait creates it; if Wait
	// ends because of its ctx, idle stays set until then.
	idle chan struct{}
}

// enter counts a new request. It reports false if the host is draining.
func (d *drainState) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.running++
	return true
}

func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

func (d *drainState) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *drainState) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving || d.draining
}

// idleSignal returns nil if no request runs, otherwise a channel that is closed once none runs.
func (d *drainState) idleSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == 0 {
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	return d.idle
}

// Leave makes responses announce that their connections close. Requests are served as before.
func (g *Gate) Leave() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.leaving = true
}

// Drain makes the gate refuse new requests for models and services. Running requests complete.
func (g *Gate) Drain() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.draining = true
}

// Running returns the number of requests that Wait would wait for.
func (g *Gate) Running() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.running
}

// Wait waits until no request runs. It returns the error of ctx if ctx ends first.
func (g *Gate) Wait(ctx context.Context) error {
	for {
		idle := g.drain.idleSignal()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
