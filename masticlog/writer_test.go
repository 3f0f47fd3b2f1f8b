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

// writing runs a Writer and says that it may not fail.
type writing struct {
	writer *Writer
	err    error
}

func (w *writing) run() { w.err = w.writer.Run() }

func newLog(w *Writer) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	w.Bind(log)
	return log
}

// tally counts the lines of a log by message, and those that it says were left out.
func tally(c *qt.C, text string) (kept map[string]int64, left map[string]int64) {
	kept, left = map[string]int64{}, map[string]int64{}
	for line := range strings.Lines(text) {
		var l leftOut
		var message struct{ Msg string }
		if json.Unmarshal([]byte(line), &message) != nil {
			c.Fatalf("line %q is not whole", line)
		}
		if message.Msg != "log lines left out" {
			kept[message.Msg]++
			continue
		}
		c.Assert(json.Unmarshal([]byte(line), &l), qt.IsNil)
		for kind, n := range l.Lines {
			left[kind] += n
		}
	}
	return kept, left
}

// TestLinesOverTheBoundAreCounted logs far over the bound in each of three seconds: no
// second has more than the bound, each line is written or counted under its kind, also
// those of the end, and refusals are kept when nothing but ordinary lines is left out.
func TestLinesOverTheBoundAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const bound, seconds, answered, refused = 20_000, 3, 1000, 30
		var out bytes.Buffer
		w := NewWriter(&out, bound)
		r := &writing{writer: w}
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
			c.Assert(out.Len()-written <= bound+200, qt.IsTrue, qt.Commentf("%d bytes in a second", out.Len()-written))
			written = out.Len()
			time.Sleep(time.Second)
		}
		w.Stop(nil)
		synctest.Wait()
		c.Assert(r.err, qt.IsNil)
		kept, left := tally(c, out.String())
		c.Assert(kept["refused"], qt.Equals, int64(seconds*refused))
		c.Assert(kept["answered"] > 0, qt.IsTrue)
		c.Assert(kept["answered"]+left["answered"], qt.Equals, int64(seconds*answered))
		c.Assert(left, qt.HasLen, 1)
	})
}

// TestKindsAreBounded logs more kinds of lines than are counted apart.
func TestKindsAreBounded(t *testing.T) {
	c := qt.New(t)
	w := NewWriter(&bytes.Buffer{}, 1)
	log := newLog(w)
	for i := range 4 * kindsKept {
		log.Infof("kind %d", i)
	}
	c.Assert(w.dropped, qt.HasLen, kindsKept+1)
	c.Assert(w.dropped[otherKind], qt.Equals, int64(3*kindsKept))
}

// stuckReader is an output that nobody reads until free is closed.
type stuckReader struct {
	free    chan struct{}
	written bytes.Buffer
}

func (s *stuckReader) Write(p []byte) (int, error) {
	<-s.free
	return s.written.Write(p)
}

// TestStuckReaderBlocksNobody logs to an output that is not read: each call returns, the
// lines that wait are bounded, and they are written once it is read again.
func TestStuckReaderBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &stuckReader{free: make(chan struct{})}
		w := NewWriter(out, 1<<30)
		r := &writing{writer: w}
		go r.run()
		log := newLog(w)
		const lines = 4 * ringLines
		for i := range lines {
			log.Info(fmt.Sprintf("line %d", i))
			synctest.Wait()
		}
		dropped := w.dropped[otherKind]
		c.Assert(dropped >= lines-2*ringLines-1, qt.IsTrue, qt.Commentf("dropped %d", dropped))
		close(out.free)
		w.Stop(nil)
		synctest.Wait()
		c.Assert(r.err, qt.IsNil)
		kept, left := tally(c, out.written.String())
		c.Assert(kept["line 0"], qt.Equals, int64(1))
		c.Assert(left[otherKind], qt.Equals, dropped)
		c.Assert(int64(len(kept))+dropped, qt.Equals, int64(lines))
	})
}
