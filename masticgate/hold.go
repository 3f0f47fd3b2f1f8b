package masticgate

import (
	"context"
	"slices"
	"time"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/masticerror"
)

// holdRetryInterval is the time after which a suspected request retries when other suspected
// requests hold every backend server.
const holdRetryInterval = 50 * time.Millisecond

// acquireExclusive acquires a backend server. A request that is suspected of crashing backend
// servers gets one on which, over all hosts, no other suspected request runs.
func (m *modelCall) acquireExclusive(ctx context.Context) (masticcall.Assignment, *masticerror.Error) {
	request := m.request
	defer m.restoreRequest(request)
	var unavailable []string
	for {
		a, e := m.acquire(ctx)
		switch {
		case e != nil && len(unavailable) > 0 && e.Kind() == masticerror.KindNoServer:
			if !sleep(ctx, holdRetryInterval) {
				return nil, preDispatchError(ctx.Err())
			}
			unavailable = nil
		case e != nil:
			return nil, e
		default:
			granted, e := m.acquireHold(ctx, a)
			if granted {
				return a, nil
			}
			a.Done(m.inbound.gate.now(), masticcall.Result{Failure: string(masticerror.KindCancelled)})
			if e != nil {
				return nil, e
			}
			unavailable = append(unavailable, a.Server().Name)
		}
		m.request.Avoid = append(slices.Clone(request.Avoid), unavailable...)
		m.request.Attempt = 0
	}
}

func (m *modelCall) restoreRequest(r masticcall.Request) { m.request = r }

// acquireHold reports whether the request may run on the assigned backend server. A suspected
// request acquires an exclusive hold of the server; other requests need none.
func (m *modelCall) acquireHold(ctx context.Context, a masticcall.Assignment) (bool, *masticerror.Error) {
	g := m.inbound.gate
	m.held = false
	if g.holds == nil || !g.holds.Suspected(m.request.Digest) {
		return true, nil
	}
	held, err := g.holds.Hold(ctx, m.request.Digest, a.Server().Name, m.request.Deadline)
	if err != nil {
		return false, preDispatchError(err)
	}
	m.held = held
	return held, nil
}

// releaseHold releases the hold, if any, of the attempt that has just ended.
func (m *modelCall) releaseHold(a masticcall.Assignment, f *masticengine.Failure) {
	if m.held {
		m.inbound.gate.holds.Release(m.request.Digest, a.Server().Name, f == nil)
	}
	m.held = false
}
