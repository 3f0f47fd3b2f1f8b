package masticstream

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// wireEvent is one event as an attempt sends it.
type wireEvent struct {
	request string
	number  uint64
}

// faultyAttempt returns what one backend server sends, from event number from on: up to three
// faults (a swap, an omission, a repetition or an event of another request), and truncated at any
// byte.
func faultyAttempt(t *rapid.T, request string, from, total uint64) []byte {
	var events []wireEvent
	for n := from; n < total; n++ {
		events = append(events, wireEvent{request, n})
	}
	for range rapid.IntRange(0, 3).Draw(t, "disturbances") {
		events = injectFault(t, events)
	}
	var b []byte
	for _, e := range events {
		b = AppendEvent(b, e.request, e.number, payload(e, total))
	}
	return b[:rapid.IntRange(0, len(b)).Draw(t, "cut")]
}

func injectFault(t *rapid.T, events []wireEvent) []wireEvent {
	if len(events) == 0 {
		return events
	}
	i := rapid.IntRange(0, len(events)-1).Draw(t, "at")
	j := rapid.IntRange(0, len(events)-1).Draw(t, "with")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		events[i], events[j] = events[j], events[i]
	case 1:
		events = append(events[:i:i], events[i+1:]...)
	case 2:
		events = append(events[:i+1:i+1], events[i:]...)
	case 3:
		events[i].request = "other"
	}
	return events
}

func payload(e wireEvent, total uint64) []byte {
	if e.number == total-1 {
		return []byte(EndMark)
	}
	return fmt.Appendf(nil, "%s-%d", e.request, e.number)
}

// receive reads one attempt like a client, and returns the payloads that were delivered.
func receive(t *rapid.T, s Sequence, wire []byte) (Sequence, []string) {
	var delivered []string
	d := NewDecoder(DefaultMaxEventBytes)
	for len(wire) > 0 {
		n := copy(d.Space(), wire[:rapid.IntRange(1, len(wire)).Draw(t, "read")])
		d.Advance(n)
		wire = wire[n:]
		for {
			e, ok, err := d.Next()
			if err != nil {
				t.Fatal(err)
			}
			if !ok {
				break
			}
			next, verdict := s.Accept(e)
			switch verdict {
			case VerdictGap, VerdictWrongRequest:
				return s, delivered
			case VerdictDeliver, VerdictEnd:
				delivered = append(delivered, string(e.Data))
			}
			s = next
		}
	}
	return s, delivered
}

// TestDeliveredEventsAreInOrderAndComplete checks that with any faults in the attempts the delivered
// events are a prefix of the answer, and the whole answer exactly when the sequence has ended.
func TestDeliveredEventsAreInOrderAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Uint64Range(1, 20).Draw(t, "total")
		s := NewSequence("mine")
		var delivered []string
		for range rapid.IntRange(1, 8).Draw(t, "attempts") {
			var part []string
			s, part = receive(t, s, faultyAttempt(t, "mine", s.Next(), total))
			delivered = append(delivered, part...)
		}
		for i, v := range delivered {
			if want := string(payload(wireEvent{"mine", uint64(i)}, total)); v != want {
				t.Fatalf("event %d is %q, not %q", i, v, want)
			}
		}
		if s.Ended() != (uint64(len(delivered)) == total) {
			t.Fatalf("Ended is %v after %d of %d events", s.Ended(), len(delivered), total)
		}
		if s, rest := receive(t, s, completeAttempt("mine", s.Next(), total)); !s.Ended() || uint64(len(delivered)+len(rest)) != total {
			t.Fatalf("a complete attempt did not complete the answer")
		}
	})
}

func completeAttempt(request string, from, total uint64) []byte {
	var b []byte
	for n := from; n < total; n++ {
		b = AppendEvent(b, request, n, payload(wireEvent{request, n}, total))
	}
	return b
}

func TestDecoderRefusesEventOverLimit(t *testing.T) {
	c := qt.New(t)
	d := NewDecoder(16)
	n := copy(d.Space(), "data: 0123456789abcdef")
	c.Assert(n, qt.Equals, 16)
	d.Advance(n)
	_, _, err := d.Next()
	c.Assert(err, qt.Equals, ErrEventTooLarge)
	c.Assert(d.Space(), qt.HasLen, 0)
}

func TestDecoderAcceptsLineEndingsCommentsAndMultilineData(t *testing.T) {
	c := qt.New(t)
	d := NewDecoder(1 << 10)
	d.Advance(copy(d.Space(), ": comment\r\n\r\nid: a/b/7\r\ndata: one\r\ndata: two\r\n\r\ndata:three\n\n"))
	e, ok, err := d.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.RequestID, qt.Equals, "a/b")
	c.Assert(e.Number, qt.Equals, uint64(7))
	c.Assert(string(e.Data), qt.Equals, "one\ntwo")
	e, ok, err = d.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.Numbered, qt.IsFalse)
	c.Assert(string(e.Data), qt.Equals, "three")
}
