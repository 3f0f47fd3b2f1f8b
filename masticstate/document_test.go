package masticstate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

func put(number int64, content string) *masticproto.Command {
	digest := masticview.DigestOf([]byte(content))
	return &masticproto.Command{AtUnixMs: begin, Kind: &masticproto.Command_Document{Document: &masticproto.PutDocument{
		Document: &masticproto.Document{Number: number, ContentDigest: digest[:]}, Content: []byte(content),
	}}}
}

// TestDocumentNumbersOnlyGrow: whatever the order, the repetition and the races of puts, the
// highest number is in force with the content that was first accepted under it; what was
// accepted is accepted again, and a snapshot changes nothing.
func TestDocumentNumbersOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		held := map[int64]string{}
		var highest int64
		for i := range uint64(40) {
			number := pick(t, "number", int64(1), 2, 3, 5, 8)
			content := fmt.Sprint(number, pick(t, "content", "a", "b"))
			r := s.Apply(i+1, put(number, content)).(DocumentResult)
			switch {
			case number > highest:
				if r.Err != nil || r.Repeated {
					t.Fatalf("a higher number got %+v", r)
				}
				highest, held[number] = number, content
			case number == highest && held[number] != content:
				if masticerror.KindOf(r.Err) != masticerror.KindConflict {
					t.Fatalf("other content under the held number got %+v", r)
				}
			case r.Err != nil || !r.Repeated:
				t.Fatalf("a repeated or overtaken number got %+v", r)
			}
			if pick(t, "restore", true, false, false) {
				b := s.Snapshot()
				s = New()
				if err := s.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
			number, read := s.Document()
			if number != highest || string(read) != held[highest] {
				t.Fatalf("read back %d %q, in force is %d %q", number, read, highest, held[highest])
			}
		}
	})
}

// TestWeightsOnlyGrow: an overtaken version of weights changes nothing.
func TestWeightsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		var highest int64
		for i := range uint64(20) {
			version := pick(t, "version", int64(1), 2, 3, 5, 8)
			c := &masticproto.Command{AtUnixMs: begin, Kind: &masticproto.Command_Weights{Weights: &masticproto.NameWeights{Model: "m", Version: version}}}
			if r := s.Apply(i+1, c).(WeightsResult); r.Err != nil {
				t.Fatal(r.Err)
			}
			highest = max(highest, version)
			if w, _ := s.View().Weights("m"); w.Version != highest {
				t.Fatalf("version %d is in force, %d was named", w.Version, highest)
			}
		}
	})
}

// TestLoadTakesAServerOutAndBringsItBack: a server of a pool gets no new work from its order
// to the order's end, and an order that was superseded ends nothing.
func TestLoadTakesAServerOutAndBringsItBack(t *testing.T) {
	s := New()
	server := masticview.Server{Name: "i", Kind: masticview.ServerEngine, URL: "http://10.0.0.1:80", Service: "pool", WeightsVersion: "1", State: masticview.ServerActive}
	s.Apply(1, publishCommand(begin, "id", 0, &masticproto.ViewChange{Servers: []*masticproto.Server{server.ToProto()}}))
	load := func(index, sequence uint64, done bool) {
		s.Apply(index, &masticproto.Command{AtUnixMs: begin, Kind: &masticproto.Command_Load{Load: &masticproto.LoadOrder{
			Server: "i", Model: "m", WeightsVersion: fmt.Sprint(sequence), FenceTerm: 1, FenceSequence: sequence, Done: done,
		}}})
	}
	expect := func(state masticview.ServerState, version string) {
		t.Helper()
		if x, _ := s.View().Server("i"); x.State != state || x.WeightsVersion != version {
			t.Fatalf("the server is %s with version %s, want %s with %s", x.State, x.WeightsVersion, state, version)
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
