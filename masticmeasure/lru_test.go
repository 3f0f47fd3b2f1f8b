package masticmeasure

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticprompt"
)

func TestEndOfPromptIsEvictedFirst(t *testing.T) {
	c := qt.New(t)
	cache := newLRU(300)
	pieces := []masticprompt.Piece{{ID: masticprompt.PieceID{1}, Tokens: 100}, {ID: masticprompt.PieceID{2}, Tokens: 100}, {ID: masticprompt.PieceID{3}, Tokens: 100}}
	for _, p := range pieces {
		cache.add(p)
	}
	cache.touch(pieces)
	evicted := cache.add(masticprompt.Piece{ID: masticprompt.PieceID{4}, Tokens: 100})
	c.Assert(evicted, qt.DeepEquals, []masticprompt.PieceID{{3}})
	c.Assert(cache.prefix(pieces), qt.Equals, 2)
}

func TestEngineComputesByPriorityBetweenPieces(t *testing.T) {
	c := qt.New(t)
	long := &call{arrival: &arrival{pieces: []masticprompt.Piece{{ID: masticprompt.PieceID{1}, Tokens: 4000}, {ID: masticprompt.PieceID{2}, Tokens: 4000}}}}
	quick := &call{arrival: &arrival{pieces: []masticprompt.Piece{{ID: masticprompt.PieceID{9}, Tokens: 100}}}}
	e := newEngine("engine", 1000)
	first := &job{call: long, priority: 10, sequence: 1}
	e.submit(first)
	e.startPiece(e.nextJob())
	e.submit(&job{call: quick, priority: 0, sequence: 2})
	c.Assert(e.finishPiece(first), qt.IsFalse)
	c.Assert(e.nextJob().call, qt.Equals, quick)
	c.Assert(e.report(epoch).QueuedTokens, qt.Equals, int64(4100))
}
