// Package masticring holds the bounded queue that joins goroutines.
package masticring

import (
	"sync"

	"masticladder/masticerror"
)

// Ring is a bounded queue with any number of writers. Every item that Offer accepts
// is delivered by Out, also after Close.
type Ring[T any] struct {
	name  string
	items chan T

	mutex  sync.Mutex
	closed bool
}

// New returns a ring for at most capacity items; name appears in its errors.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, max(capacity, 1))}
}

// Offer appends t without waiting. The error has kind overloaded when the ring is
// full and draining when it is closed; t was not taken then.
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

// Out returns the channel of items. It is closed after Close once the rest was taken.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Take returns the next item without waiting.
func (r *Ring[T]) Take() (T, bool) {
	select {
	case t, ok := <-r.items:
		return t, ok
	default:
		var none T
		return none, false
	}
}

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close refuses further items; those already taken are still delivered.
func (r *Ring[T]) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.items)
}
