package masticadmin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticview"
)

// recordingRollouts records the last order and returns it as a rollout.
type recordingRollouts struct {
	rollout masticview.Rollout
	err     error
}

func (r *recordingRollouts) OrderRollout(_ context.Context, service, target string, span time.Duration) error {
	now := time.UnixMilli(1_000_000)
	r.rollout = masticview.Rollout{Service: service, Target: target, OrderedAt: now, Deadline: now.Add(span), Step: masticview.RolloutWait, Sequence: 1}
	return r.err
}

func (r *recordingRollouts) ReadRollout(_ context.Context, service string) (masticview.Rollout, error) {
	if r.rollout.Service != service {
		return masticview.Rollout{}, masticerror.New(masticerror.KindNotFound, "there is no rollout of %q", service)
	}
	return r.rollout, nil
}

// TestRolloutIsOrderedAndRead checks the calls between a client and a server, and what each refusal becomes.
func TestRolloutIsOrderedAndRead(t *testing.T) {
	c := qt.New(t)
	rollouts := &recordingRollouts{}
	s, _ := testServer(WithRollouts(rollouts))
	defer s.Close()
	client := NewClient(s.URL)
	c.Assert(client.OrderRollout(t.Context(), RolloutOrder{Service: "a/b c", Target: "2", DeadlineMillis: 1500}), qt.IsNil)
	c.Assert(rollouts.rollout.Span(), qt.Equals, 1500*time.Millisecond)
	read, err := client.Rollout(t.Context(), "a/b c")
	c.Assert(err, qt.IsNil)
	c.Assert(read.Target, qt.Equals, "2")
	c.Assert(read.Step, qt.Equals, masticview.RolloutWait)
	_, err = client.Rollout(t.Context(), "other")
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindNotFound)
	rollouts.err = masticerror.New(masticerror.KindConflict, "another one is running")
	err = client.OrderRollout(t.Context(), RolloutOrder{Service: "a", Target: "3", DeadlineMillis: 1})
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindConflict)
	err = client.OrderRollout(t.Context(), RolloutOrder{Service: strings.Repeat("a", maxSmallBytes), Target: "3"})
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindBodyTooLarge)
	without, _ := testServer()
	defer without.Close()
	c.Assert(masticerror.KindOf(NewClient(without.URL).OrderRollout(t.Context(), RolloutOrder{})), qt.Equals, masticerror.KindNotFound)
}

// TestBodiesOfSmallRequestsAreCounted guards against many connections that each send most of a large order or member, which was held
// without a limit for all of them.
func TestBodiesOfSmallRequestsAreCounted(t *testing.T) {
	for _, path := range []string{"/v1/rollouts", "/v1/members/h"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			s := New(WithOperator(&recordingOperator{}), WithViews(fixedViews{masticview.View{}}), WithRollouts(&recordingRollouts{}))
			front := httptest.NewServer(s)
			defer front.Close()
			var open []net.Conn
			for range 8 {
				conn, err := net.Dial("tcp", front.Listener.Addr().String())
				c.Assert(err, qt.IsNil)
				open = append(open, conn)
				_, err = io.WriteString(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n{\"service\":\"%s", path, MaxBodyBytes, strings.Repeat("a", 12<<10)))
				c.Assert(err, qt.IsNil)
			}
			for range 1000 {
				if s.bodies.Used() >= 8*(12<<10) {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			c.Check(s.bodies.Used() >= 8*(12<<10), qt.IsTrue, qt.Commentf("%d bytes counted", s.bodies.Used()))
			for _, conn := range open {
				c.Check(conn.Close(), qt.IsNil)
			}
		})
	}
}

// TestUnknownMembersOfOrderAreIgnored checks that a newer client's order is accepted.
func TestUnknownMembersOfOrderAreIgnored(t *testing.T) {
	c := qt.New(t)
	rollouts := &recordingRollouts{}
	s, _ := testServer(WithRollouts(rollouts))
	defer s.Close()
	b, err := json.Marshal(map[string]any{"service": "a", "target": "2", "deadlineMillis": 10, "other": []int{1}})
	c.Assert(err, qt.IsNil)
	response, err := s.Client().Post(s.URL+"/v1/rollouts", "application/json", strings.NewReader(string(b)))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(rollouts.rollout.Target, qt.Equals, "2")
}
