package masticcache

import (
	"encoding/binary"
	"flag"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticprompt"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func pieceOf(n int) masticprompt.Piece {
	var id masticprompt.PieceID
	binary.BigEndian.PutUint64(id[:8], uint64(n))
	return masticprompt.Piece{ID: id, Tokens: 100}
}

func piecesOf(n int) []masticprompt.Piece {
	var out []masticprompt.Piece
	for i := range n {
		out = append(out, pieceOf(i))
	}
	return out
}

func storedOf(n int) []Event {
	var out []Event
	for _, p := range piecesOf(n) {
		out = append(out, Event{Kind: Stored, Piece: p.ID})
	}
	return out
}

func TestResetCacheIsNeverReportedAsCached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(WithMaxPieces(rapid.IntRange(4, 40).Draw(t, "max")))
		slots := rapid.Map(rapid.IntRange(0, 3), func(i int) Slot { return Slot(i) })
		next := map[Slot]uint64{}
		old := map[Slot]Epoch{}
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := start.Add(time.Duration(n) * time.Second)
			slot := slots.Draw(t, "slot")
			count := rapid.IntRange(1, 8).Draw(t, "pieces")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.Touch(now, slot, b.Epoch(slot), piecesOf(count))
			case 1:
				b.Apply(now, slot, Batch{First: next[slot], Events: storedOf(count)})
				next[slot] += uint64(count)
			case 2:
				b.Touch(now, slot, old[slot], piecesOf(count))
			case 3:
				old[slot] = b.Epoch(slot)
				b.Reset(slot)
				next[slot] = 0
				checkEmpty(t, b, now, slot)
				b.Touch(now, slot, old[slot], piecesOf(count))
				checkEmpty(t, b, now, slot)
			}
			if b.Len() > b.maxPieces {
				t.Fatalf("%d pieces, bound %d", b.Len(), b.maxPieces)
			}
		}
	})
}

func checkEmpty(t *rapid.T, b *Index, now time.Time, slot Slot) {
	l := b.Lookup(Lookup{}, piecesOf(8))
	if got := l.Cached(now, slot); got != 0 {
		t.Fatalf("%v tokens expected to be cached after a reset", got)
	}
	l.Holders(func(s Slot) bool {
		if s == slot {
			t.Fatalf("slot %d is a holder after a reset", s)
		}
		return true
	})
}

func TestConfirmedPiecesMatchesConfirmedHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(WithMaxPieces(rapid.IntRange(2, 20).Draw(t, "max")))
		var next uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			e := Event{Kind: EventKind(rapid.IntRange(0, 2).Draw(t, "kind")), Piece: pieceOf(rapid.IntRange(0, 30).Draw(t, "piece")).ID}
			slot := Slot(rapid.IntRange(0, 1).Draw(t, "slot"))
			next += uint64(rapid.IntRange(1, 3).Draw(t, "skip"))
			b.Apply(start, slot, Batch{First: next, Events: []Event{e}})
			for s, state := range b.states {
				if n := b.countConfirmed(s, state.epoch); n != state.confirmedPieces {
					t.Fatalf("slot %d: %d confirmed holders, confirmedPieces is %d", s, n, state.confirmedPieces)
				}
			}
		}
	})
}

func (x *Index) countConfirmed(slot Slot, epoch Epoch) int {
	n := 0
	for _, r := range x.pieces {
		if h := r.find(slot, epoch); h != nil && h.confirmed {
			n++
		}
	}
	return n
}

func TestLateEventsAreDropped(t *testing.T) {
	c := qt.New(t)
	b := New()
	c.Assert(b.Apply(start, 0, Batch{First: 5, Events: storedOf(2)}), qt.Equals, Applied{})
	late := b.Apply(start, 0, Batch{First: 5, Events: []Event{{Kind: Removed, Piece: pieceOf(0).ID}}})
	c.Assert(late, qt.Equals, Applied{Late: 1})
	c.Assert(b.Lookup(Lookup{}, piecesOf(2)).Cached(start, 0), qt.Equals, 200.0)
}

func TestOverlappingBatchAppliesOnlyNewEvents(t *testing.T) {
	c := qt.New(t)
	b := New()
	b.Apply(start, 0, Batch{First: 0, Events: storedOf(2)})
	again := append(storedOf(2), Event{Kind: Removed, Piece: pieceOf(1).ID})
	c.Assert(b.Apply(start, 0, Batch{First: 0, Events: again}), qt.Equals, Applied{Late: 2})
	c.Assert(b.Lookup(Lookup{}, piecesOf(2)).Cached(start, 0), qt.Equals, 100.0)
}

func TestEventGapLowersProbabilityOfOldPieces(t *testing.T) {
	c := qt.New(t)
	b := New()
	later := start.Add(initialHalfLife)
	b.Apply(start, 0, Batch{First: 0, Events: storedOf(4)})
	b.Apply(later, 0, Batch{First: 4, Events: []Event{{Kind: Stored, Piece: pieceOf(8).ID}}})
	c.Assert(b.Lookup(Lookup{}, piecesOf(4)).Cached(later, 0), qt.Equals, 400.0)
	c.Assert(b.Apply(later, 0, Batch{First: 10, Events: []Event{{Kind: Stored, Piece: pieceOf(9).ID}}}).Gap, qt.IsTrue)
	old := b.Lookup(Lookup{}, piecesOf(4)).Cached(later, 0)
	c.Assert(old > 0 && old < 300, qt.IsTrue, qt.Commentf("%v", old))
	young := b.Lookup(Lookup{}, []masticprompt.Piece{pieceOf(8)}).Cached(later, 0)
	c.Assert(young, qt.Equals, 100.0)
}

func TestEarlyRemovalsShortenTheHalfLife(t *testing.T) {
	c := qt.New(t)
	b := New()
	b.Apply(start, 0, Batch{First: 0, Events: storedOf(50)})
	for i := range 50 {
		b.Apply(start.Add(time.Second), 0, Batch{First: uint64(50 + i), Events: []Event{{Kind: Removed, Piece: pieceOf(i).ID}}})
	}
	c.Assert(b.states[0].halfLife < initialHalfLife/2, qt.IsTrue, qt.Commentf("%v", b.states[0].halfLife))
}

func TestUnconfirmedHolderDecaysByHalfLife(t *testing.T) {
	c := qt.New(t)
	b := New()
	b.Touch(start, 0, b.Epoch(0), piecesOf(1))
	l := b.Lookup(Lookup{}, piecesOf(1))
	c.Assert(l.Cached(start, 0), qt.Equals, 100.0)
	c.Assert(l.Cached(start.Add(initialHalfLife), 0), qt.Equals, 50.0)
}

func TestTrialsAdjustTheHalfLife(t *testing.T) {
	c := qt.New(t)
	for _, cached := range []int64{200, 100} {
		b := New()
		b.Touch(start, 0, b.Epoch(0), piecesOf(2))
		prediction := b.Lookup(Lookup{}, piecesOf(2)).HitPrediction(start.Add(initialHalfLife), 0)
		c.Assert(prediction, qt.Equals, HitPrediction{Age: initialHalfLife, Tokens: 200})
		b.Observe(0, b.Epoch(0), prediction, cached)
		c.Assert(b.states[0].halfLife > initialHalfLife, qt.Equals, cached == 200)
		c.Assert(b.states[0].halfLife < initialHalfLife, qt.Equals, cached == 100)
	}
}

// BenchmarkMemory reports the memory used per piece with four holders.
func BenchmarkMemory(b *testing.B) {
	const pieces = 1 << 16
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := New()
		for i := range pieces {
			for slot := range Slot(4) {
				index.Touch(start, slot, 0, []masticprompt.Piece{pieceOf(i)})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/pieces, "B/piece")
		runtime.KeepAlive(index)
	}
}
