// Package masticring provides a bounded queue between goroutines.
package masticring

import (
	"sync"

	"masticladder/masticerror"
)

// Ring is a bounded queue with any number of writers. Every item that Offer accepts is delivered
// by Out or Take, even after Close.
type Ring[T any] struct {
	name  string
	items chan T

	mutex  sync.Mutex
	closed bool
}

// New returns a ring for at most capacity items, at least one. The name appears in its errors.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, max(capacity, 1))}
}

// Offer appends t without blocking. If t is not accepted, the error has kind overloaded when the
// ring is full, and draining when it is closed.
func (r *Ring[T]) Offer(t T) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return masticerror.New(masticerror.KindDraining, "%s is closed", r.name)
	}
	select {
	case r.items <- t:
		return nil
	default:
		return masticerror.New(masticerror.KindOverloaded, "%s is full with %d items", r.name, cap(r.items))
	}
}

// Out returns the channel of items. After Close, the channel is closed once it is drained.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Take returns the next item without blocking, and false if there is none.
func (r *Ring[T]) Take() (T, bool) {
	select {
	case t, ok := <-r.items:
		return t, ok
	default:
		var zero T
		return zero, false
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close makes Offer refuse further items. Items that were accepted before are still delivered.
func (r *Ring[T]) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.items)
}
