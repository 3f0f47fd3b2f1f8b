package masticsuspect

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
	"masticladder/masticview"
)

var update = flag.Bool("update", false, "write the golden files")

// replayTrace is a scenario of TestReplayGivesTheStateOfEarlierVersions.
type replayTrace struct {
	name                            string
	steps, servers, requests, parts int
	partsPerRequest, maxRecords     int
	requestsPerReport               int
	// longPasses of six steps are preceded by up to longestPass.
	longPasses  int
	longestPass time.Duration
}

var replayTraces = []replayTrace{
	{"few records", 3000, 6, 12, 10, 3, 8, 5, 1, 2 * time.Second},
	{"holds and trials", 3000, 20, 30, 12, 2, 40, 5, 1, 600 * time.Millisecond},
	{"trials that fail", 4000, 60, 100000, 40, 3, 400, 1, 5, 1500 * time.Millisecond},
	{"long passes", 2000, 12, 60, 40, 4, 50, 5, 1, 3 * time.Minute},
	{"more completions than are kept", 1400, 10, 40000, 30, 2, 500, 100, 1, 20 * time.Millisecond},
	{"more parts than are kept", 1000, 30, 400, 20000, 60, 300, 10, 2, 300 * time.Millisecond},
}

// run replays the trace and returns hashes of the results and the state.
func (r replayTrace) run(t *testing.T) string {
	random := rand.New(rand.NewPCG(1, 2))
	tracker, now, hash := New(WithMaxRecords(r.maxRecords)), begin, fnv.New64a()
	var out []string
	request := func() []byte {
		d := masticview.DigestOf(fmt.Append(nil, "request", random.IntN(r.requests)))
		return d[:]
	}
	someParts := func() [][]byte {
		var out [][]byte
		for range random.IntN(r.partsPerRequest + 1) {
			// A small part number is more frequent, as that of a shared prefix.
			d := masticview.DigestOf(fmt.Append(nil, "part", random.IntN(1+random.IntN(r.parts))))
			out = append(out, d[:])
		}
		return out
	}
	var held []*masticproto.SuspectHold
	for i := range r.steps {
		switch n := random.IntN(6); {
		case n < r.longPasses:
			now = now.Add(time.Duration(random.Int64N(int64(r.longestPass))))
		case n == 5:
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		server := fmt.Sprint("s", random.IntN(r.servers))
		switch n := random.IntN(20); {
		case n < 11:
			x := &masticproto.SuspectReport{
				Server: server, QuarantineAfter: uint32(random.IntN(5)), FailedAgeMs: random.Int64N(400),
				Verdict: []masticproto.Verdict{
					masticproto.Verdict_VERDICT_ENDED, masticproto.Verdict_VERDICT_ENDED, masticproto.Verdict_VERDICT_LOST,
					masticproto.Verdict_VERDICT_LOST, masticproto.Verdict_VERDICT_ALIVE, masticproto.Verdict_VERDICT_COMPLETED,
				}[random.IntN(6)],
			}
			if random.IntN(8) > 0 {
				x.ServerIncarnation = fmt.Sprint(now.Unix() / int64(2+random.IntN(10)))
			}
			indices := map[string]uint32{}
			if len(held) > 0 && random.IntN(2) == 0 {
				h := held[random.IntN(len(held))]
				x.Server, x.Digests, x.AgesMs, x.FailedAgeMs = h.GetServer(), [][]byte{h.GetDigest()}, []int64{100}, 0
				x.RequestParts = []*masticproto.PartIndices{{}}
				for j, b := range h.GetParts() {
					indices[string(b)] = uint32(j)
					x.Parts = append(x.Parts, &masticproto.SuspectPart{Digest: b})
					x.RequestParts[0].Indices = append(x.RequestParts[0].Indices, uint32(j))
				}
			}
			for range random.IntN(r.requestsPerReport + 1) {
				d := request()
				if random.IntN(10) == 0 {
					d = nil
				}
				x.Digests = append(x.Digests, d)
				if random.IntN(8) > 0 {
					x.AgesMs = append(x.AgesMs, random.Int64N(3000))
				}
				p := &masticproto.PartIndices{}
				for _, b := range someParts() {
					if _, ok := indices[string(b)]; !ok {
						indices[string(b)] = uint32(len(x.GetParts()))
						part := &masticproto.SuspectPart{Digest: b}
						if random.IntN(4) == 0 {
							part.CompletedAgeMs = proto.Int64(random.Int64N(4000))
						}
						x.Parts = append(x.Parts, part)
					}
					p.Indices = append(p.Indices, indices[string(b)])
				}
				x.RequestParts = append(x.RequestParts, p)
			}
			quarantined, err := tracker.Report(now, x)
			_, _ = fmt.Fprintln(hash, quarantined, err)
		case n < 15:
			h := &masticproto.SuspectHold{
				Digest: request(), Server: server, Host: fmt.Sprint("h", random.IntN(3)), Incarnation: "1",
				DeadlineUnixMs: now.Add(time.Duration(random.IntN(4000)) * time.Millisecond).UnixMilli(), Parts: someParts(),
			}
			if outcome := tracker.AcquireHold(now, h); outcome == HoldGranted {
				held = append(held, h)
			} else {
				_, _ = fmt.Fprintln(hash, outcome)
			}
		case n < 17 && len(held) > 0:
			h := held[random.IntN(len(held))]
			_, _ = fmt.Fprintln(hash, tracker.ReleaseHold(now, &masticproto.SuspectEnd{
				Digest: h.GetDigest(), Server: h.GetServer(), Host: h.GetHost(), Incarnation: "1", Completed: random.IntN(3) == 0,
			}))
			if random.IntN(4) == 0 {
				held = nil
			}
		case n < 18:
			listed := random.IntN(3)
			_, _ = fmt.Fprintln(hash, tracker.ConfirmUnlisted(now, func(server string) (string, bool) {
				return "0", listed == 0 || len(server)%2 == 0
			}))
		case n < 19:
			tracker.Expire(now)
		case random.IntN(4) == 0:
			tracker.Clear(append(someParts(), request()))
		case random.IntN(2) == 0:
			restored, err := Restore(tracker.Snapshot())
			qt.Assert(t, err, qt.IsNil)
			restored.maxRecords = r.maxRecords
			// What TakeCleared returns next is no part of a snapshot: the state takes it with each command.
			tracker = restored
		}
		_, _ = fmt.Fprintln(hash, tracker.TakeCleared(), tracker.Fingerprint(), tracker.QuarantinedParts())
		if i%10 == 0 || i == r.steps-1 {
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(tracker.Snapshot())
			qt.Assert(t, err, qt.IsNil)
			_, _ = hash.Write(b)
			_, _ = fmt.Fprintln(hash, tracker.Suspects())
		}
		if i%200 == 199 {
			out = append(out, fmt.Sprintf("%s %d: %016x, %d requests, %d parts, %d trials, %d completed", r.name, i+1, hash.Sum64(),
				len(tracker.records), len(tracker.parts), len(tracker.trials), len(tracker.Snapshot().GetCompleted())))
		}
	}
	return strings.Join(out, "\n") + "\n"
}

// TestReplayGivesTheStateOfEarlierVersions guards against a change of results or state: control hosts of two versions apply
// the same log, and their states have to be equal.
func TestReplayGivesTheStateOfEarlierVersions(t *testing.T) {
	var got strings.Builder
	for _, r := range replayTraces {
		got.WriteString(r.run(t))
	}
	path := filepath.Join("testdata", "replay.golden")
	if *update {
		qt.Assert(t, os.MkdirAll("testdata", 0o755), qt.IsNil)
		qt.Assert(t, os.WriteFile(path, []byte(got.String()), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.String(), qt.Equals, string(want))
}
