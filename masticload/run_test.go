package masticload

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
	"masticladder/masticstream"
)

var update = flag.Bool("update", false, "write the golden files")

// fakeSystem is an HTTP handler that answers like a running system, with fault injected
// into each answer.
type fakeSystem struct {
	fault   string
	address string
}

func (s *fakeSystem) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		fmt.Fprintf(w, `{"addresses":[{"address":%q,"weight":2}],"validUntil":"2020-01-01T00:00:00Z"}`, s.address)
		return
	}
	var q chatRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil || r.Header.Get("Authorization") != "Bearer key" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fault == "refused" {
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":{"kind":"rateLimited","notRun":true}}`)
		return
	}
	w.Header().Set("Mastic-Request-Id", "r1")
	if q.Stream {
		_, _ = w.Write(s.eventStream(q))
		return
	}
	text := masticfake.Text(q.Model, q.Messages, q.MaxTokens)
	fmt.Fprintf(w, `{"choices":[{"message":{"content":%q}}]}`, text)
}

func (s *fakeSystem) eventStream(q chatRequest) []byte {
	var b []byte
	if s.fault == "other" {
		q.Messages[0].Content = "another"
	}
	for i := range q.MaxTokens {
		switch {
		case i == 2 && s.fault == "cut":
			return b
		case i == 2 && s.fault == "gap":
			continue
		case i == 2 && s.fault == "event":
			return append(b, "event: error\ndata: {\"error\":{\"kind\":\"streamBroken\",\"outcomeUnknown\":true}}\n\n"...)
		}
		data := fmt.Sprintf(`{"choices":[{"delta":{"content":%q}}]}`, masticfake.Token(q.Model, q.Messages, i))
		b = masticstream.AppendEvent(b, "r1", uint64(i), []byte(data))
	}
	return masticstream.AppendEvent(b, "r1", uint64(q.MaxTokens), []byte(masticstream.EndMark))
}

func runAgainst(c *qt.C, s *fakeSystem, stream bool) Report {
	server := httptest.NewServer(s)
	defer server.Close()
	s.address = server.Listener.Addr().String()
	r, err := Run(Options{
		Seeds: []string{s.address}, Key: "key", Model: "m", Requests: 20, PerSecond: 1000, AtOnce: 4,
		SharedBytes: 100, OwnBytes: 100, OutputTokens: 4, Stream: stream, CheckText: s.fault == "" || s.fault == "other", Seed: 1,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(r.Requests, qt.Equals, int64(20))
	return r
}

// TestRunTellsFaults checks that each kind of wrong answer is counted under its own total.
func TestRunTellsFaults(t *testing.T) {
	c := qt.New(t)
	c.Assert(runAgainst(c, &fakeSystem{}, true).Whole, qt.Equals, int64(20))
	c.Assert(runAgainst(c, &fakeSystem{}, false).Whole, qt.Equals, int64(20))
	for _, fault := range []string{"cut", "gap", "other"} {
		r := runAgainst(c, &fakeSystem{fault: fault}, true)
		c.Assert(r.Broken, qt.Equals, int64(20), qt.Commentf(fault))
		c.Assert(r.Failed(), qt.IsTrue)
	}
	r := runAgainst(c, &fakeSystem{fault: "refused"}, true)
	c.Assert(r.Refusals, qt.DeepEquals, map[string]int64{"rateLimited": 20})
	c.Assert(r.NotRun, qt.Equals, int64(20))
	r = runAgainst(c, &fakeSystem{fault: "event"}, true)
	c.Assert(r.Refusals, qt.DeepEquals, map[string]int64{"streamBroken": 20})
	c.Assert(r.OutcomeUnknown, qt.Equals, int64(20))
	c.Assert(r.Failed(), qt.IsFalse)
}

// TestDeadHostIsLeft checks that a request whose host cannot be connected to is sent to
// another host of the list.
func TestDeadHostIsLeft(t *testing.T) {
	c := qt.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	dead := closed.Addr().String()
	c.Assert(closed.Close(), qt.IsNil)
	s := &fakeSystem{}
	server := httptest.NewServer(s)
	defer server.Close()
	r := newRunner(Options{Seeds: []string{server.Listener.Addr().String()}, Key: "key", Seed: 1}.withDefaults())
	r.directory.answer = addressAnswer{
		Addresses:  []address{{dead, 1_000_000}, {server.Listener.Addr().String(), 1}},
		ValidUntil: time.Now().Add(time.Minute),
	}
	r.execute(dueRequest{number: 1, at: time.Now()})
	report := r.collector.report(time.Second)
	c.Assert(report.Lost, qt.Equals, int64(0))
	c.Assert(report.Moved, qt.Equals, int64(1))
}

func TestLoopbackOnly(t *testing.T) {
	c := qt.New(t)
	for _, host := range []string{"192.0.2.1:80", "example.org:80", "[2001:db8::1]:80", "127.0.0.1"} {
		_, err := Run(Options{Seeds: []string{host}})
		c.Assert(err, qt.ErrorMatches, ".*(loopback|IP:port).*", qt.Commentf(host))
	}
	s := &fakeSystem{address: "192.0.2.1:80"}
	server := httptest.NewServer(s)
	defer server.Close()
	_, err := Run(Options{Seeds: []string{server.Listener.Addr().String()}, Key: "key"})
	c.Assert(err, qt.ErrorMatches, ".*192.0.2.1:80 is not a loopback address.*")
}

func TestReportGolden(t *testing.T) {
	c := qt.New(t)
	quantiles := []Quantile{{50, 1.5}, {90, 2}, {99, 4}, {99.9, 8}, {100, 10}}
	r := Report{
		Requests: 10, Whole: 7, Refusals: map[string]int64{"rateLimited": 2}, NotRun: 2, Broken: 1,
		Faults: []string{"request 3: the answer is not whole"}, Seconds: 2, PerSecond: 5,
		FirstToken: quantiles, Answer: quantiles,
	}
	got := r.Text() + r.SVG()
	const file = "testdata/report.txt"
	if *update {
		c.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
		c.Assert(os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
	c.Assert(strings.HasSuffix(got, "</svg>\n"), qt.IsTrue)
}
