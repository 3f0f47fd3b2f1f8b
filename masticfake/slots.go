package masticfake

import (
	"context"
	"slices"
	"sync"
)

// slots admits a number of requests at once, the most urgent first.
type slots struct {
	mu      sync.Mutex
	free    int
	total   int
	waiters []*waiter
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	ready    chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n, total: n} }

func (s *slots) acquire(ctx context.Context, priority int) error {
	w := s.enqueue(priority)
	if w == nil {
		return nil
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *slots) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	i, _ := slices.BinarySearchFunc(s.waiters, priority+1, func(o *waiter, p int) int { return o.priority - p })
	s.waiters = slices.Insert(s.waiters, i, w)
	return w
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return
	}
	s.give()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.give()
}

func (s *slots) give() {
	if len(s.waiters) == 0 {
		s.free++
		return
	}
	close(s.waiters[0].ready)
	s.waiters = slices.Delete(s.waiters, 0, 1)
}

func (s *slots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total - s.free
}

func (s *slots) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}
