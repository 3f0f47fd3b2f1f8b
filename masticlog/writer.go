// Package masticlog writes log lines without blocking the goroutines that log. A line is dropped
// and counted by kind if the queue is full or the limit of bytes per second is reached. Lines of
// level info and below are dropped first.
package masticlog

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticring"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for a slow output.
	maxQueuedLines = 1024
	// batchBytes is the approximate size of one write.
	batchBytes = 16 << 10
	// infoQuarters is the share of the byte limit, in quarters, that is available to lines of
	// level info and below. The rest is reserved for refusals, retries and failures, because a
	// fault causes them while the load is high.
	infoQuarters = 3
	// maxKinds is the maximum number of kinds of dropped lines that are counted separately.
	maxKinds = 64
	// otherKind counts the kinds beyond maxKinds, and lines dropped by Write, which does not
	// know their kind.
	otherKind = "other"
	// stopTimeout bounds the wait for an output that accepts no writes.
	stopTimeout = time.Second
)

// Writer queues log lines and writes them to an output, with a limit of bytes per second. Each
// call of Write takes one line. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines *masticring.Ring[[]byte]
	done  chan struct{}

	mutex sync.Mutex
	// windowBytes is the number of bytes accepted in the second that began at windowStart.
	windowBytes, bytesPerSecond int
	windowStart                 time.Time
	dropped                     map[string]int64
}

// NewWriter returns a Writer to out that accepts at most bytesPerSecond bytes per second.
func NewWriter(out io.Writer, bytesPerSecond int) *Writer {
	return &Writer{
		out: out, lines: masticring.New[[]byte]("log lines", maxQueuedLines), done: make(chan struct{}),
		bytesPerSecond: bytesPerSecond, dropped: map[string]int64{},
	}
}

// Bind makes log write to w, with w's limit.
func (w *Writer) Bind(log *logrus.Logger) {
	log.SetFormatter(&formatter{writer: w, inner: log.Formatter})
	log.SetOutput(w)
}

// formatter drops lines over the byte limit before they are formatted, if possible.
type formatter struct {
	writer *Writer
	inner  logrus.Formatter
}

// Format returns the formatted line, or nothing if the line is dropped.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.writer.reserve(e.Time, e.Level, 0) {
		f.writer.drop(e.Message)
		return nil, nil
	}
	line, err := f.inner.Format(e)
	if err != nil {
		return nil, err
	}
	if !f.writer.reserve(e.Time, e.Level, len(line)) {
		f.writer.drop(e.Message)
		return nil, nil
	}
	return line, nil
}

// Write queues one line that a formatter has accepted. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if len(p) > 0 && w.lines.Offer(append([]byte(nil), p...)) != nil {
		w.drop(otherKind)
	}
	return len(p), nil
}

// reserve counts n bytes against the limit of the current second and reports whether a line of
// the given level is within it.
func (w *Writer) reserve(now time.Time, level logrus.Level, n int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.windowBytes = now, 0
	}
	limit := w.bytesPerSecond
	if level >= logrus.InfoLevel {
		limit = w.bytesPerSecond * infoQuarters / 4
	}
	// With n = 0 this rejects a line before it is formatted if the limit is reached.
	if w.windowBytes+max(n, 1) > limit {
		return false
	}
	w.windowBytes += n
	return true
}

func (w *Writer) drop(kind string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, ok := w.dropped[kind]; !ok && len(w.dropped) >= maxKinds {
		kind = otherKind
	}
	w.dropped[kind]++
}

// takeDropped returns the dropped lines by kind since the last call, nil if there were none.
func (w *Writer) takeDropped() map[string]int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.dropped) == 0 {
		return nil
	}
	dropped := w.dropped
	w.dropped = map[string]int64{}
	return dropped
}

// Run writes lines until Stop is called, and then the lines still queued.
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
	w.flush(nil)
	return nil
}

// droppedLines is the log line that reports the number of dropped lines by kind.
type droppedLines struct {
	Level string           `json:"level"`
	Text  string           `json:"msg"`
	Lines map[string]int64 `json:"lines"`
}

// flush writes a batch, followed by a line with the dropped lines if there were any.
func (w *Writer) flush(batch []byte) {
	if dropped := w.takeDropped(); len(dropped) > 0 {
		// Encoding cannot fail: the value has only strings and numbers.
		line, _ := json.Marshal(droppedLines{"warning", "log lines left out", dropped})
		batch = append(append(batch, line...), '\n')
	}
	// A failure to write the log cannot be reported anywhere.
	_, _ = w.out.Write(batch)
}

// Stop ends Run and returns after the queued lines are written, or after stopTimeout.
func (w *Writer) Stop(error) {
	w.lines.Close()
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
