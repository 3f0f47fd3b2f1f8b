package masticengine

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog ends a call when the server delivers no answer or event before a deadline, or when
// check returns an error.
type watchdog struct {
	start    time.Time
	interval time.Duration
	deadline atomic.Int64
	stopped  atomic.Bool
	cancel   context.CancelCauseFunc
	check    func() error
	timer    *time.Timer
}

// maxDuration exceeds the lifetime of any process.
const maxDuration = time.Duration(1<<63 - 1)

func newWatchdog(cancel context.CancelCauseFunc, check func() error, interval time.Duration) *watchdog {
	w := &watchdog{start: time.Now(), interval: interval, cancel: cancel, check: check}
	w.deadline.Store(int64(1<<63 - 1))
	// Reset after the assignment, because run uses w.timer and may be called immediately.
	w.timer = time.AfterFunc(maxDuration, w.run)
	w.timer.Reset(interval)
	return w
}

// extend sets the deadline for the next answer or event to timeout from now.
func (w *watchdog) extend(timeout time.Duration) {
	w.deadline.Store(int64(time.Since(w.start) + timeout))
}

// suspend removes the deadline while the call waits for its caller.
func (w *watchdog) suspend() { w.deadline.Store(int64(1<<63 - 1)) }

func (w *watchdog) run() {
	if w.stopped.Load() {
		return
	}
	if int64(time.Since(w.start)) > w.deadline.Load() {
		w.cancel(errServerTimeout)
		return
	}
	if w.check != nil {
		if err := w.check(); err != nil {
			w.cancel(err)
			return
		}
	}
	w.timer.Reset(w.interval)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}
