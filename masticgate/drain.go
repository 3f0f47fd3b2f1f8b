package masticgate

import (
	"context"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticdrain"
	"masticladder/masticerror"
	"masticladder/mastichold"
)

// drainState holds the running requests of a host that may be shutting down.
type drainState struct {
	requests masticdrain.Requests
	plan     masticdrain.Plan

	mu       sync.Mutex
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

// isLeaving reports whether responses announce the end of their connections.
func (d *drainState) isLeaving() bool { return d.plan.Leaving() || d.isDraining() }

// Leave makes responses announce that their connections close. Orders whose deadline is after endsAt, when the host ends, are
// refused, because they might be cut; all other requests are served as before. What is not complete at endsAt ends with an error.
func (g *Gate) Leave(endsAt time.Time) { g.drain.plan.Leave(endsAt) }

// orderError returns the refusal of an order with the given deadline that this host might not complete.
func (d *drainState) orderError(deadline time.Time) *masticerror.Error {
	if !d.plan.Refuses(deadline, masticdrain.Once) {
		return nil
	}
	return masticdrain.Refusal()
}

// Drain makes the gate refuse new requests for models and services, and those that wait for a server and might not be complete
// when the host ends. All others complete.
func (g *Gate) Drain() {
	g.drain.refuseNew()
	g.drain.plan.RefuseBeyondEnd()
}

// EndBy is Drain on a host that ends at endsAt, unless Leave has set an earlier end.
func (g *Gate) EndBy(endsAt time.Time) {
	g.drain.refuseNew()
	g.drain.plan.EndBy(endsAt)
}

func (d *drainState) refuseNew() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// acquire acquires a backend server for a request with the given deadline. A planned end of the host ends the wait; a request
// that a server may have run, only at the end itself.
func (d *drainState) acquire(ctx context.Context, r mastichold.Request, repeat masticdrain.Repeat, sent bool) (masticcall.Assignment, bool, *masticerror.Error) {
	ctx, scope := d.scope(ctx, r.Deadline, repeat, sent)
	defer scope.End()
	a, held, err := mastichold.Acquire(ctx, r)
	if err != nil {
		return nil, held, preDispatchError(ctx, err)
	}
	return a, held, nil
}

func (d *drainState) scope(ctx context.Context, deadline time.Time, repeat masticdrain.Repeat, sent bool) (context.Context, *masticdrain.Scope) {
	if sent {
		return d.plan.Sent(ctx)
	}
	return d.plan.Waiting(ctx, deadline, repeat)
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
