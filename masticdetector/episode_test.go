package masticdetector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticcall"
	"masticladder/masticview"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func digest(n int) masticview.Digest { return masticview.DigestOf([]byte{byte(n)}) }

// event is something that a host sees of a server, at a time in milliseconds.
type event struct {
	at int
	// request fails if it is not zero; it was sent at sentAt.
	request, sentAt int
	// abandoned states that the request was given up.
	abandoned bool
	// sign tells of the same time, or of sentAt.
	sign    Sign
	planned bool
}

func fails(at, request, sentAt int) event { return event{at: at, request: request, sentAt: sentAt} }

func sees(at int, s Sign) event { return event{at: at, sign: s} }

// TestSignsAreJoinedOverTime checks which requests are reported, with which verdict, by what is seen of
// a server one after the other.
func TestSignsAreJoinedOverTime(t *testing.T) {
	for _, x := range []struct {
		name   string
		events []event
		// reports are the verdicts, each with the number of its requests.
		reports string
	}{
		{"refused at once", []event{fails(10, 1, 0), sees(11, SignRefused)}, "ended 1"},
		{"no answer proves nothing", []event{fails(10, 1, 0), sees(11, SignNone), sees(120, SignNone), sees(500, SignNone)}, "lost 1"},
		{"no answer for a moment", []event{fails(10, 1, 0), sees(11, SignNone), sees(109, SignNone)}, ""},
		{"port closed soon", []event{fails(10, 1, 0), sees(11, SignNone), sees(60, SignRefused)}, "ended 1"},
		{"port closed later", []event{fails(10, 1, 0), sees(11, SignNone), sees(120, SignNone), sees(2000, SignRefused)}, "lost 1, ended 1"},
		{"answers while it ends", []event{fails(10, 1, 0), sees(11, SignAnswered), sees(120, SignRefused)}, "ended 1"},
		{"address used again", []event{fails(10, 1, 0), sees(120, SignNone), sees(300, SignReplaced)}, "lost 1, ended 1"},
		{"resets for a moment, alive", []event{fails(10, 1, 0), sees(11, SignNone), sees(60, SignAnswered), sees(400, SignNone)}, ""},
		{"resets for long, alive", []event{fails(10, 1, 0), sees(120, SignNone), sees(400, SignAnswered)}, "lost 1, alive 0"},
		{"answers others while it resets", []event{fails(10, 1, 0), fails(60, 2, 59), {at: 70, sign: SignAnswered, sentAt: 50}, sees(120, SignNone), fails(130, 3, 129), sees(161, SignNone)}, "lost 1"},
		{"lived on for long", []event{fails(10, 1, 0), sees(11, SignAnswered), sees(4000, SignAnswered), fails(5000, 2, 4990), sees(5001, SignRefused)}, "ended 1"},
		{"ended long after the failure", []event{fails(10, 1, 0), sees(11, SignAnswered), sees(10_100, SignRefused)}, ""},
		{"several requests at once", []event{fails(10, 1, 0), fails(11, 2, 5), sees(12, SignRefused)}, "ended 2"},
		{"found out later", []event{fails(10, 1, 0), sees(11, SignRefused), fails(20, 2, 5)}, "ended 1, ended 1"},
		{"sent after the failure", []event{fails(10, 1, 0), sees(120, SignNone), fails(400, 2, 300), sees(2000, SignRefused)}, "lost 1, ended 1"},
		{"sent after an answer", []event{fails(10, 1, 0), sees(11, SignAnswered), fails(400, 2, 300), sees(401, SignRefused)}, "ended 2"},
		{"given up, then another fails", []event{{at: 10, request: 1, abandoned: true}, fails(11, 2, 5), sees(12, SignRefused)}, "ended 2"},
		{"given up", []event{{at: 10, request: 1, abandoned: true}, sees(500, SignNone)}, ""},
		{"given up, not listed any more", []event{{at: 10, request: 1, abandoned: true}, sees(500, SignReplaced)}, "ended 1"},
		{"planned end", []event{fails(10, 1, 0), {at: 11, sign: SignRefused, planned: true}}, ""},
		{"given up, alive", []event{{at: 10, request: 1, abandoned: true}, sees(20, SignAnswered), fails(30, 2, 25), sees(31, SignRefused)}, "ended 1"},
		{"an answer from before the failure", []event{fails(10, 1, 0), sees(120, SignNone), {at: 121, sign: SignAnswered, sentAt: 5}}, "lost 1"},
	} {
		t.Run(x.name, func(t *testing.T) {
			e := newEpisode(masticview.Server{Name: "s", Incarnation: "1"}, "1")
			var got []string
			for _, v := range x.events {
				for _, r := range apply(e, v) {
					got = append(got, fmt.Sprint(r.Verdict, " ", len(r.Requests)))
				}
			}
			qt.Assert(t, strings.Join(got, ", "), qt.Equals, x.reports)
		})
	}
}

func apply(e *episode, v event) []masticcall.ServerReport {
	now, sentAt := at(v.at), at(v.at)
	if v.sentAt > 0 {
		sentAt = at(v.sentAt)
	}
	switch {
	case v.request > 0:
		e.fail(now, !v.abandoned)
		return e.blame(now, masticcall.FailedRequest{Content: masticcall.Content{Digest: digest(v.request)}, SentAt: at(v.sentAt)}, v.abandoned)
	case v.planned:
		e.server.State = masticview.ServerLeaving
	}
	return e.observe(now, sentAt, v.sign)
}

// TestVerdictNeedsProof checks for random sequences that no server counts as ended without a proof, and
// no request is reported that was sent after the server had failed and before it answered again.
func TestVerdictNeedsProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEpisode(masticview.Server{Name: "s", Incarnation: "1"}, "1")
		now, failedAt := 0, -1
		proved := false
		for request := 1; request < 40 && !proved; request++ {
			now += rapid.IntRange(1, 900).Draw(t, "pass")
			v := event{at: now}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				v.request, v.sentAt = request, rapid.IntRange(max(0, now-2000), now).Draw(t, "sent")
			case 2:
				v.sign = SignNone
			case 3:
				v.sign = SignAnswered
			default:
				v.sign = rapid.SampledFrom([]Sign{SignRefused, SignReplaced}).Draw(t, "proof")
				proved = true
			}
			blamable := v.request == 0 || failedAt < 0 || v.sentAt <= failedAt
			for _, r := range apply(e, v) {
				if r.Verdict == masticcall.VerdictEnded && !proved {
					t.Fatalf("ended without a proof")
				}
				if v.request > 0 && !blamable {
					t.Fatalf("request %d was sent at %d, the server failed at %d", v.request, v.sentAt, failedAt)
				}
			}
			if _, blamed := e.requests[digest(v.request)]; blamed && !blamable {
				t.Fatalf("request %d was sent at %d, the server failed at %d", v.request, v.sentAt, failedAt)
			}
			switch {
			case v.request > 0 && failedAt < 0:
				failedAt = now
			case v.request == 0 && v.sign == SignAnswered:
				failedAt = -1
			}
		}
	})
}
