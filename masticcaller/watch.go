package masticcaller

import (
	"context"
	"sync"
	"time"
)

// watchInterval is the time between two checks of the connection of a running request. The background read of net/http ends with the
// first byte of a further request, and sees no close after it.
const watchInterval = 200 * time.Millisecond

// Watch ends contexts of requests whose callers leave. It is stopped with Stop.
type Watch struct {
	connection *Connection
	cancel     context.CancelFunc

	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

// Watch returns a context that ends once the caller has closed the connection, and its watch.
func (c *Connection) Watch(ctx context.Context) (context.Context, *Watch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watch{connection: c, cancel: cancel}
	if c != nil {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.timer = time.AfterFunc(watchInterval, w.check)
	}
	return ctx, w
}

// check ends the context if the caller has left.
func (w *Watch) check() {
	if w.connection.Gone() {
		w.cancel()
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped {
		w.timer.Reset(watchInterval)
	}
}

// Stop ends the watch and its context.
func (w *Watch) Stop() {
	w.cancel()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
