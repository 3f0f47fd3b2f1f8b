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

// bench is a running Dispatcher with its log.
type bench struct {
	*Dispatcher
	log *bytes.Buffer
}

func (b *bench) run() { _ = b.Run() }

func newBench(t *testing.T, engines int) *bench {
	t.Helper()
	l := logrus.New()
	log := &bytes.Buffer{}
	l.SetOutput(io.Writer(log))
	b := &bench{New(WithSeed(1), WithLog(logrus.NewEntry(l))), log}
	go b.run()
	b.SetView(viewOf(engines))
	synctest.Wait()
	return b
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
		b := newBench(t, 3)
		defer b.Stop(nil)
		a, err := b.Acquire(t.Context(), requestOf("r1", "secret handbook"))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Server().Name, qt.Matches, "engine[012]")
		a.FirstToken(time.Now())
		a.Done(time.Now(), masticcall.Result{})
		synctest.Wait()
		c.Assert(b.log.String(), qt.Contains, "request routed")
		c.Assert(b.log.String(), qt.Contains, "candidates=")
		c.Assert(b.log.String(), qt.Not(qt.Contains), "secret")
	})
}

func TestCacheSaltDiffersByWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 1)
		defer b.Stop(nil)
		salts := map[string]bool{}
		for _, w := range []string{"mill", "fitter", "fitter"} {
			r := requestOf("r", "text")
			r.Workspace = w
			a, err := b.Acquire(t.Context(), r)
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
		b := newBench(t, 0)
		defer b.Stop(nil)
		_, err := b.Acquire(t.Context(), requestOf("r1", "text"))
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindNoServer)
		c.Assert(masticerror.From(err).NotRun(), qt.IsTrue)
	})
}

func TestQueuedRequestEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 1)
		defer b.Stop(nil)
		long := requestOf("r1", string(bytes.Repeat([]byte("saw "), 40000)))
		first, err := b.Acquire(t.Context(), long)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = b.Acquire(ctx, requestOf("r2", "other"))
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindDeadline)
		synctest.Wait()
		c.Assert(b.scheduler.Queued(), qt.Equals, 0)
		first.Done(time.Now(), masticcall.Result{})
	})
}

func TestStopAnswersWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 1)
		b.Stop(nil)
		synctest.Wait()
		_, err := b.Acquire(t.Context(), requestOf("r1", "text"))
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindDraining)
	})
}

// asker asks for one assignment.
type asker struct {
	dispatcher *Dispatcher
	ctx        context.Context
	request    masticcall.Request
	assigned   masticcall.Assignment
	err        error
}

func (a *asker) run() { a.assigned, a.err = a.dispatcher.Acquire(a.ctx, a.request) }

func longText() string { return string(bytes.Repeat([]byte("saw "), 40000)) }

func TestLeavingServerGetsNothingFromTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 1)
		defer b.Stop(nil)
		first, err := b.Acquire(t.Context(), requestOf("r1", longText()))
		c.Assert(err, qt.IsNil)
		waiter := &asker{dispatcher: b.Dispatcher, ctx: t.Context(), request: requestOf("r2", "other")}
		go waiter.run()
		synctest.Wait()
		c.Assert(b.scheduler.Queued(), qt.Equals, 1)
		v := viewOf(2)
		s, _ := v.Server("engine0")
		s.State = masticview.ServerLeaving
		b.SetView(v.WithServer(s))
		first.Done(time.Now(), masticcall.Result{})
		synctest.Wait()
		c.Assert(waiter.err, qt.IsNil)
		c.Assert(waiter.assigned.Server().Name, qt.Equals, "engine1")
		again, err := b.Acquire(t.Context(), requestOf("r3", longText()))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Server().Name, qt.Equals, "engine1", qt.Commentf("engine0 has the prefix and is leaving"))
	})
}

func TestQueuedRequestIsSentWhenTheWindowOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 1)
		defer b.Stop(nil)
		first, err := b.Acquire(t.Context(), requestOf("r1", longText()))
		c.Assert(err, qt.IsNil)
		waiter := &asker{dispatcher: b.Dispatcher, ctx: t.Context(), request: requestOf("r2", "other")}
		go waiter.run()
		synctest.Wait()
		c.Assert(waiter.assigned, qt.IsNil)
		first.FirstToken(time.Now())
		synctest.Wait()
		c.Assert(waiter.err, qt.IsNil)
		c.Assert(waiter.assigned, qt.IsNotNil)
	})
}

func TestCallerThatGoesAwayFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 1)
		defer b.Stop(nil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 50 {
			a, err := b.Acquire(ctx, requestOf("r1", longText()))
			if err == nil {
				a.Done(time.Now(), masticcall.Result{})
			}
		}
		synctest.Wait()
		c.Assert(b.scheduler.Queued(), qt.Equals, 0)
		c.Assert(b.asking, qt.HasLen, 0)
		_, err := b.Acquire(t.Context(), requestOf("r2", longText()))
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
	d.Report(masticroute.Report{Server: "engine0"})
	c.Assert(d.drops.reports.Count(), qt.Equals, int64(1))
}

func TestSuspectsAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 2)
		defer b.Stop(nil)
		bad := masticview.DigestOf([]byte("bad"))
		b.SetSuspects([]masticview.Digest{bad})
		servers := map[string]bool{}
		for range 2 {
			r := requestOf("r", "text")
			r.Digest = bad
			a, err := b.Acquire(t.Context(), r)
			c.Assert(err, qt.IsNil)
			servers[a.Server().Name] = true
		}
		c.Assert(servers, qt.HasLen, 2)
	})
}

// TestLongPlacingIsTold: other hosts are told at once of a long prompt's placing, once for
// placings that come together, and of short prompts with the next report. On a site with 57
// hosts a report came each 180 ms, and in that time other hosts read the same prefix again.
func TestLongPlacingIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, 2)
		defer b.Stop(nil)
		acquire := func(id string, tokens int64) {
			r := requestOf(id, "x")
			r.PromptTokens = tokens
			_, err := b.Acquire(t.Context(), r)
			c.Assert(err, qt.IsNil)
		}
		told := func() int {
			synctest.Wait()
			n := len(b.Placed())
			for range n {
				<-b.Placed()
			}
			return n
		}
		acquire("short", tellTokens-1)
		c.Assert(told(), qt.Equals, 0)
		acquire("long", tellTokens)
		acquire("another", tellTokens)
		c.Assert(told(), qt.Equals, 1)
		own, ok := b.Own("h")
		c.Assert(ok, qt.IsTrue)
		c.Assert(len(own.Servers) > 0, qt.IsTrue)
	})
}
