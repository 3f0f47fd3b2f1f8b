package masticdrain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

var start = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

func cutLines(s *Requests, now time.Time) []string {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true})
	s.LogCut(log, now)
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// TestCutRequestsAreNotNamed: of a request that ended with its host the log said at most that its caller had gone.
func TestCutRequestsAreNotNamed(t *testing.T) {
	c := qt.New(t)
	s := &Requests{}
	body := s.Begin("b", start.Add(time.Second))
	waiting := s.Begin("w", start)
	waiting.Set(waiting.Progress().WithRoute("review", start.Add(8*time.Second)).WithStage(StageServer))
	running := s.Begin("r", start.Add(2*time.Second))
	running.Set(running.Progress().WithRoute("review", start.Add(9*time.Second)).WithServer(StageAnswer, "i-1").WithStage(StageStream))
	ended := s.Begin("e", start)
	ended.End()
	c.Assert(cutLines(s, start.Add(7*time.Second)), qt.DeepEquals, []string{
		`{"leftMillis":1000,"level":"warning","millis":7000,"msg":"request cut by the end of this host","request":"w","route":"review","server":"","waitsFor":"server"}`,
		`{"level":"warning","millis":6000,"msg":"request cut by the end of this host","request":"b","route":"","server":"","waitsFor":"body"}`,
		`{"leftMillis":2000,"level":"warning","millis":5000,"msg":"request cut by the end of this host","request":"r","route":"review","server":"i-1","waitsFor":"rest of the answer"}`,
	})
	c.Assert(s.Stages(), qt.DeepEquals, map[Stage]int{StageBody: 1, StageServer: 1, StageStream: 1})
	select {
	case <-s.Idle():
		t.Fatal("idle while requests run")
	default:
	}
	idle := s.Idle()
	for _, r := range []*Request{body, waiting, running} {
		r.End()
	}
	<-idle
	<-s.Idle()
}

func TestCutRequestsBeyondTheBoundAreCounted(t *testing.T) {
	c := qt.New(t)
	s := &Requests{}
	for i := range maxNamedRequests + 3 {
		s.Begin(fmt.Sprint(i), start.Add(time.Duration(i)*time.Second))
	}
	lines := cutLines(s, start)
	c.Assert(lines, qt.HasLen, maxNamedRequests+1)
	c.Assert(lines[maxNamedRequests], qt.Equals, `{"level":"warning","msg":"more requests cut by the end of this host","requests":3}`)
}
