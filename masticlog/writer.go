// Package masticlog writes log lines without ever blocking those who log: lines that find
// the ring full, or that are over the bound of bytes in a second, are counted by kind and
// left out. Lines that tell of nothing amiss go first.
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
	// ringLines bounds the lines that wait for a slow reader.
	ringLines = 1024
	// batchBytes is about how much is written at once.
	batchBytes = 16 << 10
	// ordinaryPart is the part of the bound, in quarters, that lines of level info and
	// below may take: the rest is kept for refusals, retries and failures, which a fault
	// brings at the same time as the load.
	ordinaryPart = 3
	// kindsKept bounds the kinds of lines that are counted apart.
	kindsKept = 64
	// otherKind counts the kinds beyond kindsKept, and lines without a level.
	otherKind = "other"
)

// Writer takes one line a call. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines *masticring.Ring[[]byte]
	done  chan struct{}

	mutex sync.Mutex
	// taken is what was written in the second that began at since, in bytes.
	taken, perSecond int
	since            time.Time
	dropped          map[string]int64
}

// NewWriter returns a Writer to out that takes at most perSecond bytes a second.
func NewWriter(out io.Writer, perSecond int) *Writer {
	return &Writer{
		out: out, lines: masticring.New[[]byte]("log lines", ringLines), done: make(chan struct{}),
		perSecond: perSecond, dropped: map[string]int64{},
	}
}

// Bind makes log write to w, within the bound.
func (w *Writer) Bind(log *logrus.Logger) {
	log.SetFormatter(&formatter{writer: w, inner: log.Formatter})
	log.SetOutput(w)
}

// formatter formats no line that is over the bound.
type formatter struct {
	writer *Writer
	inner  logrus.Formatter
}

// Format returns the line, or nothing where it is left out.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.writer.take(e.Time, e.Level, 0) {
		f.writer.drop(e.Message)
		return nil, nil
	}
	line, err := f.inner.Format(e)
	if err != nil {
		return nil, err
	}
	if !f.writer.take(e.Time, e.Level, len(line)) {
		f.writer.drop(e.Message)
		return nil, nil
	}
	return line, nil
}

// Write takes one line that a formatter has let pass. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if len(p) > 0 && w.lines.Offer(append([]byte(nil), p...)) != nil {
		w.drop(otherKind)
	}
	return len(p), nil
}

// take takes n bytes from what a line of the level may have of the present second.
func (w *Writer) take(now time.Time, level logrus.Level, n int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now.Sub(w.since) >= time.Second {
		w.since, w.taken = now, 0
	}
	most := w.perSecond
	if level >= logrus.InfoLevel {
		most = w.perSecond * ordinaryPart / 4
	}
	// The line after the last one that fits is not formatted.
	if w.taken+max(n, 1) > most {
		return false
	}
	w.taken += n
	return true
}

func (w *Writer) drop(kind string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, ok := w.dropped[kind]; !ok && len(w.dropped) >= kindsKept {
		kind = otherKind
	}
	w.dropped[kind]++
}

// takeDropped returns what was left out since the last call, nil where nothing was.
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
	w.flush(nil)
	return nil
}

// leftOut is the line that tells what was left out.
type leftOut struct {
	Level string           `json:"level"`
	Text  string           `json:"msg"`
	Lines map[string]int64 `json:"lines"`
}

// flush writes a batch, and what was left out before it.
func (w *Writer) flush(batch []byte) {
	if dropped := w.takeDropped(); len(dropped) > 0 {
		// A map of strings and numbers always has a text.
		line, _ := json.Marshal(leftOut{"warning", "log lines left out", dropped})
		batch = append(append(batch, line...), '\n')
	}
	// A log that cannot be written has nowhere to be reported.
	_, _ = w.out.Write(batch)
}

// Stop ends Run once the waiting lines are written.
func (w *Writer) Stop(error) {
	w.lines.Close()
	<-w.done
}
