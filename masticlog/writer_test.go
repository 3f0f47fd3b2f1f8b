package masticlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// writerRun runs a Writer and stores the error of Run.
type writerRun struct {
	writer *Writer
	err    error
}

func (w *writerRun) run() { w.err = w.writer.Run() }

func newLog(w *Writer) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	w.Bind(log)
	return log
}

// countLines counts the lines of a log by message, and the lines that it reports as dropped.
func countLines(c *qt.C, text string) (kept map[string]int64, dropped map[string]int64) {
	kept, dropped = map[string]int64{}, map[string]int64{}
	for line := range strings.Lines(text) {
		var l droppedLines
		var message struct{ Msg string }
		if json.Unmarshal([]byte(line), &message) != nil {
			c.Fatalf("line %q is truncated", line)
		}
		if message.Msg != "log lines left out" {
			kept[message.Msg]++
			continue
		}
		c.Assert(json.Unmarshal([]byte(line), &l), qt.IsNil)
		for kind, n := range l.Lines {
			dropped[kind] += n
		}
	}
	return kept, dropped
}

// TestLinesOverTheRateLimitAreCounted logs far more than the limit in each of three seconds.
// No second may exceed the limit, each line must be written or counted under its kind, including
// the last ones, and no refusal may be dropped: only lines of level info are.
func TestLinesOverTheRateLimitAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const limit, seconds, answered, refused = 20_000, 3, 1000, 30
		var out bytes.Buffer
		w := NewWriter(&out, limit)
		r := &writerRun{writer: w}
		go r.run()
		log := newLog(w)
		written := 0
		for range seconds {
			for i := range answered {
				log.Info("answered")
				if i%(answered/refused) == 0 && i/(answered/refused) < refused {
					log.Warn("refused")
				}
			}
			synctest.Wait()
			c.Assert(out.Len()-written <= limit+200, qt.IsTrue, qt.Commentf("%d bytes in a second", out.Len()-written))
			written = out.Len()
			time.Sleep(time.Second)
		}
		w.Stop(nil)
		synctest.Wait()
		c.Assert(r.err, qt.IsNil)
		kept, dropped := countLines(c, out.String())
		c.Assert(kept["refused"], qt.Equals, int64(seconds*refused))
		c.Assert(kept["answered"] > 0, qt.IsTrue)
		c.Assert(kept["answered"]+dropped["answered"], qt.Equals, int64(seconds*answered))
		c.Assert(dropped, qt.HasLen, 1)
	})
}

// TestKindsAreBounded logs more kinds of lines than are counted separately.
func TestKindsAreBounded(t *testing.T) {
	c := qt.New(t)
	w := NewWriter(&bytes.Buffer{}, 1)
	log := newLog(w)
	for i := range 4 * maxKinds {
		log.Infof("kind %d", i)
	}
	c.Assert(w.dropped, qt.HasLen, maxKinds+1)
	c.Assert(w.dropped[otherKind], qt.Equals, int64(3*maxKinds))
}

// blockedOutput is an output whose writes block until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	return s.written.Write(p)
}

// TestBlockedOutputDoesNotBlockLogging logs to an output that blocks. Each call must return, the
// number of queued lines must stay limited, and they must be written once the output accepts
// writes again.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedOutput{unblock: make(chan struct{})}
		w := NewWriter(out, 1<<30)
		r := &writerRun{writer: w}
		go r.run()
		log := newLog(w)
		const lines = 4 * maxQueuedLines
		for i := range lines {
			log.Info(fmt.Sprintf("line %d", i))
			synctest.Wait()
		}
		dropped := w.dropped[otherKind]
		c.Assert(dropped >= lines-2*maxQueuedLines-1, qt.IsTrue, qt.Commentf("dropped %d", dropped))
		close(out.unblock)
		w.Stop(nil)
		synctest.Wait()
		c.Assert(r.err, qt.IsNil)
		kept, reported := countLines(c, out.written.String())
		c.Assert(kept["line 0"], qt.Equals, int64(1))
		c.Assert(reported[otherKind], qt.Equals, dropped)
		c.Assert(int64(len(kept))+dropped, qt.Equals, int64(lines))
	})
}

// TestBlockedOutputKeepsTheProcessFromEnding: a host whose log was not read did not end, though all its components had stopped.
func TestBlockedOutputKeepsTheProcessFromEnding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedOutput{unblock: make(chan struct{})}
		w := NewWriter(out, 1<<30)
		r := &writerRun{writer: w}
		go r.run()
		newLog(w).Info("last")
		w.Stop(nil)
		close(out.unblock)
		synctest.Wait()
		kept, _ := countLines(c, out.written.String())
		c.Assert(kept["last"], qt.Equals, int64(1))
	})
}
