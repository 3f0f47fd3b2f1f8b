package masticdispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// testDispatcher is a running Dispatcher and its log output.
type testDispatcher struct {
	*Dispatcher
	log *bytes.Buffer
}

func (d *testDispatcher) run() { _ = d.Run() }

func newTestDispatcher(t *testing.T, engines int) *testDispatcher {
	t.Helper()
	l := logrus.New()
	log := &bytes.Buffer{}
	l.SetOutput(io.Writer(log))
	d := &testDispatcher{New(WithSeed(1), WithLog(logrus.NewEntry(l))), log}
	go d.run()
	d.SetView(viewOf(engines))
	synctest.Wait()
	return d
}

func viewOf(engines int) masticview.View {
	var v masticview.View
	for i := range engines {
		v = v.WithServer(masticview.Server{
			Name: fmt.Sprintf("engine%d", i), Kind: masticview.ServerEngine,
			Models: []string{"saw"}, State: masticview.ServerActive,
		})
	}
	return v
}

func requestOf(id, text string) masticcall.Request {
	return masticcall.Request{
		ID: id, Workspace: "mill", Weight: 1, Model: "saw", Class: masticview.ClassLong,
		Levels: []masticcall.Level{{Role: "system", Text: text}},
	}
}

func TestAcquireAndDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 3)
		defer d.Stop(nil)
		a, err := d.Acquire(t.Context(), requestOf("r1", "secret handbook"))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Server().Name, qt.Matches, "engine[012]")
		a.FirstToken(time.Now())
		a.Done(time.Now(), masticcall.Result{})
		synctest.Wait()
		c.Assert(d.log.String(), qt.Contains, "request routed")
		c.Assert(d.log.String(), qt.Contains, "candidates=")
		c.Assert(d.log.String(), qt.Not(qt.Contains), "secret")
	})
}

func TestCacheSaltDiffersByWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 1)
		defer d.Stop(nil)
		salts := map[string]bool{}
		for _, w := range []string{"mill", "fitter", "fitter"} {
			r := requestOf("r", "text")
			r.Workspace = w
			a, err := d.Acquire(t.Context(), r)
			c.Assert(err, qt.IsNil)
			salts[a.CacheSalt()] = true
			a.Done(time.Now(), masticcall.Result{})
		}
		c.Assert(salts, qt.HasLen, 2)
	})
}

func TestNoServerIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 0)
		defer d.Stop(nil)
		_, err := d.Acquire(t.Context(), requestOf("r1", "text"))
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindNoServer)
		c.Assert(masticerror.From(err).NotRun(), qt.IsTrue)
	})
}

func TestQueuedRequestEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 1)
		defer d.Stop(nil)
		long := requestOf("r1", string(bytes.Repeat([]byte("saw "), 40000)))
		first, err := d.Acquire(t.Context(), long)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = d.Acquire(ctx, requestOf("r2", "other"))
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindDeadline)
		synctest.Wait()
		c.Assert(d.scheduler.Queued(), qt.Equals, 0)
		first.Done(time.Now(), masticcall.Result{})
	})
}

func TestAcquireFailsAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 1)
		d.Stop(nil)
		synctest.Wait()
		_, err := d.Acquire(t.Context(), requestOf("r1", "text"))
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindDraining)
	})
}

// acquirer acquires one assignment in a goroutine.
type acquirer struct {
	dispatcher *Dispatcher
	ctx        context.Context
	request    masticcall.Request
	assigned   masticcall.Assignment
	err        error
}

func (a *acquirer) run() { a.assigned, a.err = a.dispatcher.Acquire(a.ctx, a.request) }

func longText() string { return string(bytes.Repeat([]byte("saw "), 40000)) }

func TestLeavingServerGetsNoQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 1)
		defer d.Stop(nil)
		first, err := d.Acquire(t.Context(), requestOf("r1", longText()))
		c.Assert(err, qt.IsNil)
		waiter := &acquirer{dispatcher: d.Dispatcher, ctx: t.Context(), request: requestOf("r2", "other")}
		go waiter.run()
		synctest.Wait()
		c.Assert(d.scheduler.Queued(), qt.Equals, 1)
		v := viewOf(2)
		s, _ := v.Server("engine0")
		s.State = masticview.ServerLeaving
		d.SetView(v.WithServer(s))
		first.Done(time.Now(), masticcall.Result{})
		synctest.Wait()
		c.Assert(waiter.err, qt.IsNil)
		c.Assert(waiter.assigned.Server().Name, qt.Equals, "engine1")
		again, err := d.Acquire(t.Context(), requestOf("r3", longText()))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Server().Name, qt.Equals, "engine1", qt.Commentf("engine0 has the prefix and is leaving"))
	})
}

func TestQueuedRequestIsSentWhenTheWindowOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 1)
		defer d.Stop(nil)
		first, err := d.Acquire(t.Context(), requestOf("r1", longText()))
		c.Assert(err, qt.IsNil)
		waiter := &acquirer{dispatcher: d.Dispatcher, ctx: t.Context(), request: requestOf("r2", "other")}
		go waiter.run()
		synctest.Wait()
		c.Assert(waiter.assigned, qt.IsNil)
		first.FirstToken(time.Now())
		synctest.Wait()
		c.Assert(waiter.err, qt.IsNil)
		c.Assert(waiter.assigned, qt.IsNotNil)
	})
}

func TestCancelledCallerLeavesNoQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 1)
		defer d.Stop(nil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 50 {
			a, err := d.Acquire(ctx, requestOf("r1", longText()))
			if err == nil {
				a.Done(time.Now(), masticcall.Result{})
			}
		}
		synctest.Wait()
		c.Assert(d.scheduler.Queued(), qt.Equals, 0)
		c.Assert(d.waiters, qt.HasLen, 0)
		_, err := d.Acquire(t.Context(), requestOf("r2", longText()))
		c.Assert(err, qt.IsNil)
	})
}

func TestFullInboxIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	d := New(WithSeed(1), WithLog(logrus.NewEntry(&logrus.Logger{Out: io.Discard})))
	for range inboxLength {
		d.Probe("engine0", "", true)
	}
	_, err := d.Acquire(t.Context(), requestOf("r1", "text"))
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindOverloaded)
	c.Assert(masticerror.From(err).NotRun(), qt.IsTrue)
	d.Report(masticroute.LoadReport{Server: "engine0"})
	c.Assert(d.drops.reports.Count(), qt.Equals, int64(1))
}

func TestSuspectsAreSentToDifferentServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 2)
		defer d.Stop(nil)
		bad := masticview.DigestOf([]byte("bad"))
		d.SetSuspects([]masticview.Digest{bad})
		servers := map[string]bool{}
		for range 2 {
			r := requestOf("r", "text")
			r.Digest = bad
			a, err := d.Acquire(t.Context(), r)
			c.Assert(err, qt.IsNil)
			servers[a.Server().Name] = true
		}
		c.Assert(servers, qt.HasLen, 2)
	})
}

// TestLongPromptSignalsReportOnce checks that placing a long prompt signals an immediate report,
// with one signal for placements in quick succession, and that short prompts wait for the next
// periodic report. On a site with 57 hosts a report came every 180 ms, and in that time other
// hosts had the same prefix computed again.
func TestLongPromptSignalsReportOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(t, 2)
		defer d.Stop(nil)
		acquire := func(id string, tokens int64) {
			r := requestOf(id, "x")
			r.PromptTokens = tokens
			_, err := d.Acquire(t.Context(), r)
			c.Assert(err, qt.IsNil)
		}
		signals := func() int {
			synctest.Wait()
			n := len(d.ReportDue())
			for range n {
				<-d.ReportDue()
			}
			return n
		}
		acquire("short", immediateReportTokens-1)
		c.Assert(signals(), qt.Equals, 0)
		acquire("long", immediateReportTokens)
		acquire("another", immediateReportTokens)
		c.Assert(signals(), qt.Equals, 1)
		own, ok := d.TakeOwnReport("h")
		c.Assert(ok, qt.IsTrue)
		c.Assert(len(own.Servers) > 0, qt.IsTrue)
	})
}
