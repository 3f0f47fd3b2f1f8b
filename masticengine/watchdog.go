package masticengine

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog ends a call when the server is silent beyond a deadline, or when the guard objects.
type watchdog struct {
	start   time.Time
	every   time.Duration
	until   atomic.Int64
	stopped atomic.Bool
	cancel  context.CancelCauseFunc
	guard   func() error
	timer   *time.Timer
}

// never is longer than any process runs.
const never = time.Duration(1<<63 - 1)

func newWatchdog(cancel context.CancelCauseFunc, guard func() error, every time.Duration) *watchdog {
	w := &watchdog{start: time.Now(), every: every, cancel: cancel, guard: guard}
	w.until.Store(int64(1<<63 - 1))
	// The timer is set once it is known: the first tick may come at once.
	w.timer = time.AfterFunc(never, w.run)
	w.timer.Reset(every)
	return w
}

// extend sets the deadline of the next sign of life.
func (w *watchdog) extend(span time.Duration) {
	w.until.Store(int64(time.Since(w.start) + span))
}

// suspend takes away the deadline while the call waits for its caller.
func (w *watchdog) suspend() { w.until.Store(int64(1<<63 - 1)) }

func (w *watchdog) run() {
	if w.stopped.Load() {
		return
	}
	if int64(time.Since(w.start)) > w.until.Load() {
		w.cancel(errSilent)
		return
	}
	if w.guard != nil {
		if err := w.guard(); err != nil {
			w.cancel(err)
			return
		}
	}
	w.timer.Reset(w.every)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}
