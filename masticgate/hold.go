package masticgate

import (
	"context"
	"slices"
	"time"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/masticerror"
)

// holdPause is the time after which a suspect asks again when other suspects have every backend server.
const holdPause = 50 * time.Millisecond

// acquireApart acquires a backend server. A request that may end its backend server is
// given one on which no other such request runs, over all hosts.
func (m *modelCall) acquireApart(ctx context.Context) (masticcall.Assignment, *masticerror.Error) {
	request := m.request
	defer m.restore(request)
	var taken []string
	for {
		a, e := m.acquire(ctx)
		switch {
		case e != nil && len(taken) > 0 && e.Kind() == masticerror.KindNoServer:
			if !sleep(ctx, holdPause) {
				return nil, notSent(ctx.Err())
			}
			taken = nil
		case e != nil:
			return nil, e
		default:
			apart, e := m.hold(ctx, a)
			if apart {
				return a, nil
			}
			a.Done(m.inbound.gate.now(), masticcall.Result{Failure: string(masticerror.KindCancelled)})
			if e != nil {
				return nil, e
			}
			taken = append(taken, a.Server().Name)
		}
		m.request.Avoid = append(slices.Clone(request.Avoid), taken...)
		m.request.Attempt = 0
	}
}

func (m *modelCall) restore(r masticcall.Request) { m.request = r }

// hold reports whether the request may run on the assigned backend server.
func (m *modelCall) hold(ctx context.Context, a masticcall.Assignment) (bool, *masticerror.Error) {
	g := m.inbound.gate
	m.held = false
	if g.holds == nil || !g.holds.Suspected(m.request.Digest) {
		return true, nil
	}
	held, err := g.holds.Hold(ctx, m.request.Digest, a.Server().Name, m.request.Deadline)
	if err != nil {
		return false, notSent(err)
	}
	m.held = held
	return held, nil
}

// endHold ends the hold of the attempt that has just ended.
func (m *modelCall) endHold(a masticcall.Assignment, f *masticengine.Failure) {
	if m.held {
		m.inbound.gate.holds.End(m.request.Digest, a.Server().Name, f == nil)
	}
	m.held = false
}
