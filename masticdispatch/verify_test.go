package masticdispatch

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticview"
)

// leavingCalls keeps the servers to verify and those that were reported as leaving.
type leavingCalls struct{ verify, reported []string }

func (l *leavingCalls) VerifyLeaving(s masticview.Server) {
	l.verify = append(l.verify, s.Name+" "+s.Incarnation)
}

func (l *leavingCalls) ReportLeaving(server, incarnation string) {
	l.reported = append(l.reported, server+" "+incarnation)
}

// TestRestartedServerIsVerified checks that a server which stated that it is leaving is checked, and again when a restart is listed, and
// that it takes requests again only once that incarnation has answered without stating it.
func TestRestartedServerIsVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := logrus.New()
		l.SetOutput(io.Discard)
		calls := &leavingCalls{}
		d := &testDispatcher{Dispatcher: New(WithSeed(1), WithLog(logrus.NewEntry(l)), WithSharedLoad(), WithLeavingVerifier(calls), WithLeavingReporter(calls))}
		go d.run()
		defer d.Stop(nil)
		list := func(incarnation string) masticview.Server {
			s := masticview.Server{Name: "a", Kind: masticview.ServerService, Service: "desk", State: masticview.ServerActive, Incarnation: incarnation}
			d.SetView(masticview.View{}.WithServer(s))
			synctest.Wait()
			return s
		}
		takes := func() bool {
			a, err := d.AcquireService(t.Context(), masticview.Service{Name: "desk", Servers: []string{"a"}}, nil)
			if err == nil {
				a.Done(time.Now(), masticcall.Result{})
			}
			return err == nil
		}
		leaving := masticcall.Statement{Leaving: true}

		first := list("1")
		d.ObserveStatement(first, "q1", time.Now(), leaving)
		synctest.Wait()
		c.Assert(calls.reported, qt.DeepEquals, []string{"a 1"})
		c.Assert(calls.verify, qt.DeepEquals, []string{"a 1"})
		c.Assert(d.Unverified("a"), qt.IsTrue)
		time.Sleep(time.Millisecond)
		d.ObserveCheck("a", "1", time.Now())
		synctest.Wait()
		c.Assert(d.Unverified("a"), qt.IsFalse)
		second := list("2")
		c.Assert(calls.verify, qt.DeepEquals, []string{"a 1", "a 2"})
		c.Assert(takes(), qt.IsFalse)
		time.Sleep(time.Second)
		d.ObserveCheck("a", "2", time.Now())
		synctest.Wait()
		c.Assert(d.Unverified("a"), qt.IsFalse)
		c.Assert(takes(), qt.IsTrue)

		d.ObserveStatement(second, "", time.Now(), leaving)
		time.Sleep(time.Millisecond)
		d.ObserveCheck("a", "2", time.Now())
		synctest.Wait()
		c.Assert(d.Unverified("a"), qt.IsFalse)
		c.Assert(takes(), qt.IsFalse, qt.Commentf("the check states that it is leaving"))
		c.Assert(calls.reported, qt.DeepEquals, []string{"a 1", "a 2"})
	})
}
