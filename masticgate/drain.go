package masticgate

import (
	"context"
	"sync"
	"time"

	"masticladder/masticdrain"
	"masticladder/masticerror"
)

// drainState holds the running requests of a host that may be shutting down.
type drainState struct {
	requests masticdrain.Requests

	mu sync.Mutex
	// leaving reports that responses announce the end of their connections.
	leaving bool
	// endsAt is when the host ends, set once leaving is.
	endsAt   time.Time
	draining bool
}

// enter counts a new request as running until the result ends. It returns nil if the host is draining.
func (d *drainState) enter(id string, received time.Time) *masticdrain.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil
	}
	return d.requests.Begin(id, received)
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

// Leave makes responses announce that their connections close. Orders whose deadline is after endsAt, when the host ends, are
// refused, because they might be cut; all other requests are served as before.
func (g *Gate) Leave(endsAt time.Time) {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.leaving, g.drain.endsAt = true, endsAt
}

// endError returns the refusal of an order with the given deadline that this host might not complete.
func (d *drainState) endError(deadline time.Time) *masticerror.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leaving || !deadline.After(d.endsAt) {
		return nil
	}
	return masticerror.New(masticerror.KindDraining, "this host ends before the order's deadline")
}

// Drain makes the gate refuse new requests for models and services. Running requests complete.
func (g *Gate) Drain() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.draining = true
}

// Running returns the number of requests that Wait would wait for.
func (g *Gate) Running() int { return g.drain.requests.Running() }

// Requests returns the running requests.
func (g *Gate) Requests() *masticdrain.Requests { return &g.drain.requests }

// Wait waits until no request runs. It returns the error of ctx if ctx ends first.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.drain.requests.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
