package masticstate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

func putCommand(number int64, content string) *masticproto.Command {
	digest := masticview.DigestOf([]byte(content))
	return &masticproto.Command{AtUnixMs: startMs, Kind: &masticproto.Command_Document{Document: &masticproto.PutDocument{
		Document: &masticproto.Document{Number: number, ContentDigest: digest[:]}, Content: []byte(content),
	}}}
}

// TestDocumentNumberNeverDecreases guards against an older document that takes effect
// again after reordered, repeated or competing puts: the highest number is in force with
// the content that was first accepted under it, repeating an accepted put succeeds, and
// restoring a snapshot changes nothing.
func TestDocumentNumberNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		accepted := map[int64]string{}
		var highest int64
		for i := range uint64(40) {
			number := pick(t, "number", int64(1), 2, 3, 5, 8)
			content := fmt.Sprint(number, pick(t, "content", "a", "b"))
			r := s.Apply(i+1, putCommand(number, content)).(DocumentResult)
			switch {
			case number > highest:
				if r.Err != nil || r.Repeated {
					t.Fatalf("put of a higher number returned %+v", r)
				}
				highest, accepted[number] = number, content
			case number == highest && accepted[number] != content:
				if masticerror.KindOf(r.Err) != masticerror.KindConflict {
					t.Fatalf("put of different content under the number in force returned %+v", r)
				}
			case r.Err != nil || !r.Repeated:
				t.Fatalf("put of a repeated or lower number returned %+v", r)
			}
			if pick(t, "restore", true, false, false) {
				b := s.Snapshot()
				s = New()
				if err := s.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
			number, read := s.Document()
			if number != highest || string(read) != accepted[highest] {
				t.Fatalf("Document returned %d %q, in force is %d %q", number, read, highest, accepted[highest])
			}
		}
	})
}

// TestWeightsVersionNeverDecreases guards against a lower version of weights that takes
// effect after a higher one.
func TestWeightsVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		var highest int64
		for i := range uint64(20) {
			version := pick(t, "version", int64(1), 2, 3, 5, 8)
			c := &masticproto.Command{AtUnixMs: startMs, Kind: &masticproto.Command_Weights{Weights: &masticproto.NameWeights{Model: "m", Version: version}}}
			if r := s.Apply(i+1, c).(WeightsResult); r.Err != nil {
				t.Fatal(r.Err)
			}
			highest = max(highest, version)
			if w, _ := s.View().Weights("m"); w.Version != highest {
				t.Fatalf("weights have version %d, want %d", w.Version, highest)
			}
		}
	})
}

// TestServerIsLoadingUntilItsLoadOrderEnds guards against new requests to a server that is
// loading weights: the end of a superseded load order does not make it active.
func TestServerIsLoadingUntilItsLoadOrderEnds(t *testing.T) {
	s := New()
	server := masticview.Server{Name: "i", Kind: masticview.ServerEngine, URL: "http://10.0.0.1:80", Service: "pool", WeightsVersion: "1", State: masticview.ServerActive}
	s.Apply(1, publishCommand(startMs, "id", 0, &masticproto.ViewChange{Servers: []*masticproto.Server{server.ToProto()}}))
	load := func(index, sequence uint64, done bool) {
		s.Apply(index, &masticproto.Command{AtUnixMs: startMs, Kind: &masticproto.Command_Load{Load: &masticproto.LoadOrder{
			Server: "i", Model: "m", WeightsVersion: fmt.Sprint(sequence), FenceTerm: 1, FenceSequence: sequence, Done: done,
		}}})
	}
	expect := func(state masticview.ServerState, version string) {
		t.Helper()
		if x, _ := s.View().Server("i"); x.State != state || x.WeightsVersion != version {
			t.Fatalf("server is %s with version %s, want %s with %s", x.State, x.WeightsVersion, state, version)
		}
	}
	load(2, 2, false)
	expect(masticview.ServerLoading, "1")
	load(3, 3, false)
	load(4, 2, true)
	expect(masticview.ServerLoading, "1")
	load(5, 3, true)
	expect(masticview.ServerActive, "3")
}
