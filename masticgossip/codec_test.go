package masticgossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticroute"
)

func TestReportRoundTrip(t *testing.T) {
	c := qt.New(t)
	r := masticroute.PeerReport{
		Host:    "10.0.0.1:7600",
		Ended:   []string{"i-2"},
		Servers: []masticroute.ServerLoad{{Server: "i-1", Tokens: 100, QuickTokens: 20, HeldTokens: 300, Running: 2, Speed: 5000}},
		Touches: []masticroute.Touch{{Server: "i-1", Pieces: []masticprompt.Piece{{ID: masticprompt.PieceID{1}, Tokens: 800, Part: 77}, {ID: masticprompt.PieceID{2}, Tokens: 400}}, ExpectedIn: 300 * time.Millisecond, Source: "10.0.0.2:80", SourceTokens: 700}, {Server: "i-2", Gone: true}, {Server: "i-3", Reset: true}},
	}
	c.Assert(decodeReport(encodeReport(r)), qt.DeepEquals, r)
}

// TestMalformedTouchesAreCutOff guards against a crash or wrong pieces on a report from
// another version of the program: decoding stops at the first malformed piece of a touch.
func TestMalformedTouchesAreCutOff(t *testing.T) {
	c := qt.New(t)
	r := decodeReport(&masticproto.LoadReport{Touches: []*masticproto.CacheTouch{
		{Server: "a", Pieces: [][]byte{{1, 2}}, Tokens: []int64{5}},
		{Server: "b", Pieces: [][]byte{make([]byte, 16), make([]byte, 16)}, Tokens: []int64{5}},
	}})
	c.Assert(r.Touches[0].Pieces, qt.HasLen, 0)
	c.Assert(r.Touches[1].Pieces, qt.HasLen, 1)
}
