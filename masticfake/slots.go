package masticfake

import (
	"context"
	"slices"
	"sync"
)

// slots limits the number of concurrent requests. A free slot goes to the waiter with the lowest
// priority number, and among equals to the one that has waited longest.
type slots struct {
	mu      sync.Mutex
	free    int
	total   int
	waiters []*waiter
}

// waiter is a request that waits for a slot; ready is closed once it has one.
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
		s.cancelWait(w)
		return ctx.Err()
	}
}

// enqueue takes a free slot and returns nil, or returns a new waiter if all slots are in use.
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

// cancelWait removes a waiter, or releases its slot if it got one in the meantime.
func (s *slots) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return
	}
	s.releaseLocked()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes a slot to the first waiter or frees it. It requires the lock.
func (s *slots) releaseLocked() {
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
