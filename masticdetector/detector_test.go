package masticdetector

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticview"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "200")
}

// fakeServer is a server as checks see it, and the reports about it.
type fakeServer struct {
	mutex sync.Mutex
	// sign is what a check shows, after delay.
	sign    Sign
	delay   time.Duration
	checks  int
	reports []string
	// reportDelay is how long a report takes.
	reportDelay time.Duration
}

func (f *fakeServer) Check(ctx context.Context, _ masticview.Server, _ string) Sign {
	f.mutex.Lock()
	f.checks++
	sign, delay := f.sign, f.delay
	f.mutex.Unlock()
	select {
	case <-time.After(delay):
		return sign
	case <-ctx.Done():
		return SignNone
	}
}

func (f *fakeServer) Report(r masticcall.ServerReport) {
	time.Sleep(f.reportDelay)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reports = append(f.reports, fmt.Sprint(r.Verdict, " ", len(r.Requests)))
}

func (f *fakeServer) show(s Sign) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sign = s
}

// counts returns the number of checks and the reports.
func (f *fakeServer) counts() (int, string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.checks, strings.Join(f.reports, ", ")
}

var testServer = masticview.Server{Name: "s", Kind: masticview.ServerService, URL: "http://127.0.0.1:1", Incarnation: "1", State: masticview.ServerActive}

// inBubble runs f in injected time, with a detector of a server that answers.
func inBubble(t *testing.T, f func(c *qt.C, d *Detector, s *fakeServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{sign: SignAnswered, delay: time.Millisecond}
		log := logrus.New()
		log.SetOutput(io.Discard)
		d := New(s, s, WithClock(time.Now), WithLog(log))
		defer d.Close()
		f(qt.New(t), d, s)
	})
}

func begin(d *Detector, request int) *Attempt {
	return d.Begin(testServer, testServer.Incarnation, masticcall.Content{Digest: digest(request)})
}

// fail fails an attempt a millisecond after it was sent.
func fail(t testing.TB, d *Detector, request int) masticcall.Verdict {
	a := begin(d, request)
	time.Sleep(time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return a.Failed(ctx)
}

// TestServerThatClosesItsPortLaterIsNotReported: a check at the moment of the failure was the only one.
func TestServerThatClosesItsPortLaterIsNotReported(t *testing.T) {
	for _, first := range []Sign{SignAnswered, SignNone} {
		for _, later := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint(first, " ", later), func(t *testing.T) {
				inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
					s.show(first)
					c.Assert(fail(c, d, 1), qt.Not(qt.Equals), masticcall.VerdictEnded)
					time.Sleep(later)
					s.show(SignRefused)
					time.Sleep(2 * time.Second)
					_, reports := s.counts()
					c.Assert(strings.HasSuffix(reports, "ended 1"), qt.IsTrue, qt.Commentf("%s", reports))
				})
			})
		}
	}
}

// TestFailuresOfLiveServerAreChecked checks that a live server on which many requests fail at once is
// checked a few times only, and nothing is reported.
func TestFailuresOfLiveServerAreChecked(t *testing.T) {
	inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
		for request := range 100 {
			d.fail(begin(d, request), false, true)
		}
		time.Sleep(time.Minute)
		checks, reports := s.counts()
		c.Assert(checks, qt.Equals, len(checkDelays))
		c.Assert(reports, qt.Equals, "")
	})
}

// TestFailedWaitsForNextCheck checks that a failure after an answer is checked at once.
func TestFailedWaitsForNextCheck(t *testing.T) {
	inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
		c.Assert(fail(c, d, 1), qt.Equals, masticcall.VerdictAlive)
		s.show(SignRefused)
		began := time.Now()
		c.Assert(fail(c, d, 2), qt.Equals, masticcall.VerdictEnded)
		c.Assert(time.Since(began), qt.Equals, 2*time.Millisecond)
		_, reports := s.counts()
		c.Assert(reports, qt.Equals, "ended 2")
	})
}

// TestSilentServerIsCheckedUntilItAnswers checks that a server without a sign of life is lost, not
// ended, and reported alive when it answers a check or a request.
func TestSilentServerIsCheckedUntilItAnswers(t *testing.T) {
	for _, byRequest := range []bool{false, true} {
		t.Run(fmt.Sprint("by request: ", byRequest), func(t *testing.T) {
			inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
				s.show(SignNone)
				c.Assert(fail(c, d, 1), qt.Equals, masticcall.VerdictLost)
				time.Sleep(5 * time.Second)
				if byRequest {
					begin(d, 9).Answered()
				}
				s.show(SignAnswered)
				time.Sleep(time.Minute)
				_, reports := s.counts()
				c.Assert(reports, qt.Equals, "lost 1, alive 0")
			})
		})
	}
}

func viewOf(servers ...masticview.Server) masticview.View {
	var v masticview.View
	for _, s := range servers {
		v = v.WithServer(s)
	}
	return v
}

// TestListEndsLostServer checks what a list of servers proves: another incarnation under the name, or
// no entry for a server that shows no sign of life either.
func TestListEndsLostServer(t *testing.T) {
	replaced := testServer
	replaced.Incarnation = "2"
	for _, x := range []struct {
		name    string
		sign    Sign
		listed  []masticview.Server
		reports string
	}{
		{"same entry", SignNone, []masticview.Server{testServer}, "lost 1"},
		{"new incarnation", SignNone, []masticview.Server{replaced}, "lost 1, ended 1"},
		{"new incarnation that answers", SignAnswered, []masticview.Server{replaced}, "ended 1"},
		{"no entry", SignNone, nil, "lost 1, ended 1"},
		{"no entry, but it answers", SignAnswered, nil, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
				s.show(x.sign)
				fail(c, d, 1)
				time.Sleep(1500 * time.Millisecond)
				d.SetView(viewOf(x.listed...))
				time.Sleep(2 * time.Second)
				_, reports := s.counts()
				c.Assert(reports, qt.Equals, x.reports)
			})
		})
	}
}

// TestServerThatFallsSilentIsNotReported: requests whose server ended without breaking their connections
// ran to their deadlines, and nothing was reported.
func TestServerThatFallsSilentIsNotReported(t *testing.T) {
	leaving := testServer
	leaving.State = masticview.ServerLeaving
	for _, x := range []struct {
		name string
		sign Sign
		// views are the lists that follow each other.
		views   []masticview.View
		reports string
	}{
		{"silent, not listed any more", SignNone, []masticview.View{viewOf()}, "ended 2"},
		{"refusing, not listed any more", SignRefused, []masticview.View{viewOf()}, "ended 2"},
		{"answering, not listed any more", SignAnswered, []masticview.View{viewOf()}, ""},
		{"listed", SignNone, []masticview.View{viewOf(testServer)}, ""},
		{"taken out of service", SignNone, []masticview.View{viewOf(leaving), viewOf()}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
				s.show(x.sign)
				first, second := begin(d, 1), begin(d, 2)
				begin(d, 3).Completed(true)
				time.Sleep(time.Second)
				for _, v := range x.views {
					d.SetView(v)
					time.Sleep(time.Second)
				}
				_, reports := s.counts()
				c.Assert(reports, qt.Equals, x.reports)
				first.Abandoned()
				second.End()
				_, reports = s.counts()
				c.Assert(reports, qt.Equals, x.reports)
				c.Assert(d.attempts, qt.HasLen, 0)
			})
		})
	}
}

// TestContentThatCompletedIsNotBlamed checks that a content which a server has completed is not blamed for
// some time, and is afterwards.
func TestContentThatCompletedIsNotBlamed(t *testing.T) {
	inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
		begin(d, 1).Completed(true)
		s.show(SignRefused)
		time.Sleep(recentTTL)
		first, second := begin(d, 1), begin(d, 2)
		time.Sleep(time.Millisecond)
		c.Assert(first.Failed(c.Context()), qt.Equals, masticcall.VerdictEnded)
		c.Assert(second.Failed(c.Context()), qt.Equals, masticcall.VerdictEnded)
		_, reports := s.counts()
		c.Assert(reports, qt.Equals, "ended 1")
		time.Sleep(2 * recentTTL)
		c.Assert(fail(c, d, 1), qt.Equals, masticcall.VerdictEnded)
		_, reports = s.counts()
		c.Assert(reports, qt.Equals, "ended 1, ended 1")
	})
}

// TestSuspectThatThisHostServedIsReported checks that a suspect which a server has completed for this host is
// reported as harmless, and no other one.
func TestSuspectThatThisHostServedIsReported(t *testing.T) {
	inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
		begin(d, 1).Completed(true)
		d.SetSuspects([]masticview.Digest{digest(2)})
		_, reports := s.counts()
		c.Assert(reports, qt.Equals, "")
		d.SetSuspects([]masticview.Digest{digest(1), digest(2)})
		_, reports = s.counts()
		c.Assert(reports, qt.Equals, "completed 1")
	})
}

// TestGivenUpRequestEndsTheChecksOfDyingServer: a caller that left ended the checks of a server on which
// another request had failed a moment before, so that its end was not noticed.
func TestGivenUpRequestEndsTheChecksOfDyingServer(t *testing.T) {
	inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
		c.Assert(fail(c, d, 1), qt.Equals, masticcall.VerdictAlive)
		begin(d, 2).Abandoned()
		time.Sleep(200 * time.Millisecond)
		s.show(SignRefused)
		time.Sleep(time.Second)
		_, reports := s.counts()
		c.Assert(reports, qt.Equals, "ended 1")
	})
}

// TestNextAttemptPrecedesTheReport: a request whose server had ended was sent to the next one a moment before
// the end was reported, so that it was no suspect yet.
func TestNextAttemptPrecedesTheReport(t *testing.T) {
	inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
		s.reportDelay = 10 * time.Millisecond
		s.show(SignRefused)
		c.Assert(fail(c, d, 1), qt.Equals, masticcall.VerdictEnded)
		_, reports := s.counts()
		c.Assert(reports, qt.Equals, "ended 1")
	})
}

// failing is an attempt that fails at a time of its own.
type failing struct {
	detector *Detector
	server   *fakeServer
	request  int
	after    time.Duration
	reports  chan string
}

func (f *failing) run() {
	a := begin(f.detector, f.request)
	time.Sleep(f.after)
	a.Failed(context.Background())
	_, reports := f.server.counts()
	f.reports <- reports
}

// TestVerdictOvertakesReport: an attempt that failed while the report of a server's end was under way opened the verdict for all that waited, so
// that what they did next came before the report.
func TestVerdictOvertakesReport(t *testing.T) {
	inBubble(t, func(c *qt.C, d *Detector, s *fakeServer) {
		s.show(SignRefused)
		s.reportDelay = 50 * time.Millisecond
		reports := make(chan string, 2)
		for i, after := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
			go (&failing{d, s, i + 1, after, reports}).run()
		}
		for range 2 {
			c.Assert(<-reports, qt.Contains, "ended")
		}
	})
}
