package masticagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticview"
)

const (
	// hostsPerInterval is the number of hosts that share one basePartInterval, within which each of them asks
	// once for the hold of a part that another one tries.
	hostsPerInterval = 16
	basePartInterval = 50 * time.Millisecond
	maxPartInterval  = 400 * time.Millisecond
	// completionReporters is the number of hosts, on average, that report a completion which speaks for a part.
	completionReporters = 16
)

// turns are the suspected parts of which a request of this host runs or asks for a hold, so that one request
// at a time asks the control group.
type turns struct {
	mutex sync.Mutex
	// owners maps each part to the content whose turn it is.
	owners map[masticview.Digest]masticview.Digest
	// changed is closed when a turn ends or the suspects change.
	changed chan struct{}
}

func newTurns() turns {
	return turns{owners: map[masticview.Digest]masticview.Digest{}, changed: make(chan struct{})}
}

// take takes the turns of all parts, or returns a channel that is closed when that may succeed.
func (t *turns) take(owner masticview.Digest, parts []masticview.Digest) <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, p := range parts {
		if _, taken := t.owners[p]; taken {
			return t.changed
		}
	}
	for _, p := range parts {
		t.owners[p] = owner
	}
	return nil
}

// end ends the turns of owner.
func (t *turns) end(owner masticview.Digest, parts []masticview.Digest) {
	t.mutex.Lock()
	for _, p := range parts {
		if t.owners[p] == owner {
			delete(t.owners, p)
		}
	}
	t.mutex.Unlock()
	t.notify()
}

func (t *turns) notify() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Turn takes the turns of the suspected parts of c. It returns at once if none is suspected.
func (s *suspects) Turn(ctx context.Context, c masticcall.Content) error {
	for {
		s.mutex.Lock()
		parts := s.suspectedParts(c)
		s.mutex.Unlock()
		changed := s.turns.take(c.Digest, parts)
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// EndTurn ends the turns of c.
func (s *suspects) EndTurn(c masticcall.Content) {
	if len(c.Parts) > 0 {
		s.turns.end(c.Digest, c.Parts)
	}
}

// partRetryInterval returns the time after which to ask again for the hold of a part that another host tries.
// All hosts together ask at a bounded rate.
func (s *suspects) partRetryInterval() time.Duration {
	n := max(1, s.agent.hostCount()/hostsPerInterval)
	return min(time.Duration(n)*basePartInterval, maxPartInterval)
}

// reportsCompletion decides whether this host reports a completion that speaks for a part. Of many hosts
// some do, as a part that few requests have is tried under a hold, whose release states the completion.
func (s *suspects) reportsCompletion() bool {
	n := s.agent.hostCount()
	return n <= completionReporters || rand.IntN(n) < completionReporters
}

func (a *Agent) hostCount() int { return a.views.view().HostCount() }
