package masticgate

import (
	"context"
	"slices"

	"masticladder/masticcall"
	"masticladder/masticdrain"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/mastichold"
)

// acquireExclusive acquires a backend server. A request that is suspected of crashing backend
// servers gets one on which, over all hosts, no other suspected request runs.
func (m *modelCall) acquireExclusive(ctx context.Context) (masticcall.Assignment, *masticerror.Error) {
	g, request := m.inbound.gate, m.request
	m.inbound.setStage(masticdrain.StageServer)
	defer m.restoreRequest(request)
	m.request.Reacquired = false
	a, held, e := g.drain.acquire(ctx, mastichold.Request{
		Holds: g.holds, Content: m.prompt.content, Deadline: request.Deadline, Acquire: m.acquireExcept, Now: g.now,
	}, masticdrain.Repeatable, m.sent)
	m.held = held
	return a, e
}

func (m *modelCall) restoreRequest(r masticcall.Request) { m.request = r }

// acquireExcept acquires a backend server other than the unavailable ones.
func (m *modelCall) acquireExcept(ctx context.Context, unavailable []string) (masticcall.Assignment, error) {
	avoid := m.request.Avoid
	m.request.Avoid = append(slices.Clone(avoid), unavailable...)
	a, e := m.acquire(ctx)
	m.request.Avoid, m.request.Reacquired = avoid, true
	if e != nil {
		return nil, e
	}
	return a, nil
}

// releaseHold releases the hold, if any, of the attempt that has just ended.
func (m *modelCall) releaseHold(a masticcall.Assignment, f *masticengine.Failure) {
	if m.held {
		m.inbound.gate.holds.Release(m.prompt.content, a.Server().Name, f == nil)
	}
	m.held = false
}
