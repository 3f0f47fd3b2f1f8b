// Package masticlog writes log lines without ever blocking those who log: lines that find
// the ring full, or that are over the bound of lines in a second, are counted and left out.
package masticlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"masticladder/masticring"
)

const (
	// ringLines bounds the lines that wait for a slow reader.
	ringLines = 1024
	// batchBytes is about how much is written at once.
	batchBytes = 16 << 10
)

// Writer takes one line a call. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   *masticring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}

	mutex sync.Mutex
	// left is what may still be written in the second that began at since.
	left, perSecond int
	since           time.Time
}

// NewWriter returns a Writer to out that takes at most perSecond bytes a second.
func NewWriter(out io.Writer, perSecond int) *Writer {
	return &Writer{
		out: out, lines: masticring.New[[]byte]("log lines", ringLines), done: make(chan struct{}),
		left: perSecond, perSecond: perSecond,
	}
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.within(time.Now(), len(p)) || w.lines.Offer(append([]byte(nil), p...)) != nil {
		w.dropped.Add(1)
	}
	return len(p), nil
}

// within takes n bytes from the budget of the present second.
func (w *Writer) within(now time.Time, n int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now.Sub(w.since) >= time.Second {
		w.since, w.left = now, w.perSecond
	}
	if w.left < n {
		return false
	}
	w.left -= n
	return true
}

// Run writes the lines until Stop, and then those that wait.
func (w *Writer) Run() error {
	defer close(w.done)
	var batch []byte
	for line := range w.lines.Out() {
		batch = append(batch[:0], line...)
		for len(batch) < batchBytes {
			next, ok := w.lines.Take()
			if !ok {
				break
			}
			batch = append(batch, next...)
		}
		w.flush(batch)
	}
	return nil
}

// flush writes a batch, and how many lines were left out before it.
func (w *Writer) flush(batch []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, fmt.Sprintf("{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d}\n", n)...)
	}
	// A log that cannot be written has nowhere to be reported.
	_, _ = w.out.Write(batch)
}

// Stop ends Run once the waiting lines are written.
func (w *Writer) Stop(error) {
	w.lines.Close()
	<-w.done
}
