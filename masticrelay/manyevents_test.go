package masticrelay

import (
	"bytes"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticbody"
)

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestEventsOfManyStreamsFillMemory: the event that each stream was in had a bound, those of all streams together had
// none.
func TestEventsOfManyStreamsFillMemory(t *testing.T) {
	c := qt.New(t)
	const streams, limit = 500, 16 << 20
	budget := masticbody.NewBudget(limit)
	part := bytes.Repeat([]byte("x"), relayBufferBytes)
	before := heapBytes()
	splitters := make([]*eventSplitter, streams)
	ended := 0
	for i := range splitters {
		splitters[i] = &eventSplitter{memory: budget.Reserve()}
	}
	// All streams go on in turn, and stay within the bound of one event.
	for range maxEventBytes / relayBufferBytes {
		for i, e := range splitters {
			if e == nil {
				continue
			}
			if _, err := e.add(part); err != nil {
				c.Assert(err, qt.Equals, errEventMemory)
				e.memory.Release()
				splitters[i] = nil
				ended++
			}
		}
	}
	kept := heapBytes() - before
	t.Logf("%d of %d streams keep %d bytes", streams-ended, streams, kept)
	// Each stream has a first buffer that is not counted.
	c.Assert(kept < limit+streams*2*relayBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", kept))
	c.Assert(budget.Used() <= limit, qt.IsTrue)
	for _, e := range splitters {
		if e == nil {
			continue
		}
		whole, err := e.add([]byte("\n\n"))
		c.Assert(err, qt.IsNil)
		e.discard(len(whole))
	}
	c.Assert(budget.Used(), qt.Equals, int64(0))
}
