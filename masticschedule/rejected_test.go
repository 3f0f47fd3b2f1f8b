package masticschedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// rejectingServers are servers that reject some requests as not run and answer the others.
type rejectingServers struct {
	scheduler *Scheduler
	service   masticview.Service
	// rejects reports whether the named server rejects a request that reaches it.
	rejects func(now time.Time, server string) bool
	// answerTime is the time that an answer takes.
	answerTime func(now time.Time) time.Duration
	ends       []requestEnd
	next       Ticket
	// got counts the requests by server, refused those without a server by error kind, once countFrom has come.
	got       map[string]int
	refused   map[masticerror.Kind]int
	countFrom time.Time
	now       time.Time
}

// requestEnd is the pending end of a request.
type requestEnd struct {
	at       time.Time
	ticket   Ticket
	rejected bool
}

// step ends what is due, takes outcomes and, if submit is set, submits one request.
func (r *rejectingServers) step(now time.Time, submit bool) {
	left := r.ends[:0]
	for _, e := range r.ends {
		switch {
		case e.at.After(now):
			left = append(left, e)
		case e.rejected:
			r.scheduler.Done(now, e.ticket, masticcall.Result{Failure: string(masticerror.KindBackendBusy)})
		default:
			r.scheduler.FirstToken(now, e.ticket)
			r.scheduler.Done(now, e.ticket, masticcall.Result{CachedUnknown: true})
		}
	}
	r.ends = left
	if submit {
		r.next++
		r.submit(now)
	}
	r.scheduler.Poll(now)
	for _, o := range r.scheduler.Outcomes() {
		r.take(now, o)
	}
}

func (r *rejectingServers) submit(now time.Time) {
	if r.service.Name != "" {
		r.scheduler.SubmitService(now, r.next, r.service, nil)
		return
	}
	q := requestOf("mill")
	q.Class, q.FirstTokenDeadline, q.Deadline = masticview.ClassQuick, now.Add(400*time.Millisecond), now.Add(4*time.Second)
	q.ServerWaitDeadline = now.Add(70 * time.Millisecond)
	r.scheduler.Submit(now, r.next, q, masticprompt.Cut([]masticcall.Level{
		{Role: "part", Text: fmt.Sprint("shared", r.next%50), Tokens: 92}, {Role: "part", Text: fmt.Sprint("own", r.next), Tokens: 291},
	}))
}

func (r *rejectingServers) take(now time.Time, o Outcome) {
	counted := !now.Before(r.countFrom)
	if o.Err != nil {
		if counted {
			r.refused[o.Err.Kind()]++
		}
		return
	}
	if counted {
		r.got[o.Server.Name]++
	}
	e := requestEnd{at: now.Add(r.answerTime(now)), ticket: o.Ticket}
	if r.rejects(now, o.Server.Name) {
		e.at, e.rejected = now.Add(2*time.Millisecond), true
	}
	r.ends = append(r.ends, e)
}

// run submits a request each interval until the given time and counts from countFrom on.
func (r *rejectingServers) run(interval time.Duration, countFrom, until time.Time) {
	r.got, r.refused, r.countFrom = map[string]int{}, map[masticerror.Kind]int{}, countFrom
	for ; r.now.Before(until); r.now = r.now.Add(time.Millisecond) {
		r.step(r.now, r.now.Sub(start)%interval == 0)
	}
}

func fast(time.Time) time.Duration { return 30 * time.Millisecond }

// newRejectingServers returns n engines, or servers of a plain service.
func newRejectingServers(n int, plain bool) *rejectingServers {
	if plain {
		s, desk := deskOf(n, masticroute.WithSharedLoad())
		return &rejectingServers{scheduler: s, service: desk, answerTime: fast, now: start}
	}
	s := New(masticroute.New(masticroute.WithSeed(1), masticroute.WithSharedLoad()))
	states := make([]masticview.ServerState, n)
	for i := range states {
		states[i] = masticview.ServerActive
	}
	s.SetView(start, viewOf(states...))
	return &rejectingServers{scheduler: s, answerTime: fast, now: start}
}

// TestFullServersAreTakenForFailedOnes: in an overload each rejection of a full engine counted as a failure, hosts put sound
// engines out of service, and requests got "no usable backend server" while others idled.
func TestFullServersAreTakenForFailedOnes(t *testing.T) {
	const full = 2 * time.Second
	for _, plain := range []bool{false, true} {
		for name, isFull := range map[string]func(string) bool{
			"one":  func(server string) bool { return server == "engine0" || server == "server0" },
			"all":  func(string) bool { return true },
			"some": func(server string) bool { return server < "engine2" || server >= "server0" && server < "server2" },
		} {
			t.Run(fmt.Sprint(name, plain), func(t *testing.T) {
				c := qt.New(t)
				r := newRejectingServers(4, plain)
				r.rejects = func(now time.Time, server string) bool { return now.Before(start.Add(full)) && isFull(server) }
				r.run(5*time.Millisecond, start, start.Add(full))
				c.Assert(r.refused[masticerror.KindNoServer], qt.Equals, 0)
				r.run(5*time.Millisecond, start.Add(full+time.Second), start.Add(full+2*time.Second))
				c.Assert(r.refused, qt.HasLen, 0)
				for server, n := range r.got {
					c.Assert(n > 30, qt.IsTrue, qt.Commentf("%s got %v", server, r.got))
				}
				c.Assert(r.got, qt.HasLen, 4)
			})
		}
	}
}

// TestServerThatRejectsRequestsDespiteRoomIsAvoided: a server that rejects a share of its requests although it has room, which
// is a fault, would get its full share of the requests.
func TestServerThatRejectsRequestsDespiteRoomIsAvoided(t *testing.T) {
	for _, plain := range []bool{false, true} {
		t.Run(fmt.Sprint(plain), func(t *testing.T) {
			c := qt.New(t)
			r := newRejectingServers(4, plain)
			random := rand.New(rand.NewPCG(1, 2))
			r.rejects = func(_ time.Time, server string) bool {
				return (server == "engine0" || server == "server0") && random.Float64() < 0.45
			}
			r.run(10*time.Millisecond, start.Add(2*time.Second), start.Add(20*time.Second))
			faulty, all := r.got["engine0"]+r.got["server0"], 0
			for _, n := range r.got {
				all += n
			}
			c.Log(r.got)
			c.Assert(8*faulty < all, qt.IsTrue, qt.Commentf("%v", r.got))
		})
	}
}

// TestFullServersThatStillTakeRequestsAreNoFailedOnes: full engines that take a request whenever one ends reject a share of them,
// like those with a fault.
func TestFullServersThatStillTakeRequestsAreNoFailedOnes(t *testing.T) {
	for _, plain := range []bool{false, true} {
		t.Run(fmt.Sprint(plain), func(t *testing.T) {
			c := qt.New(t)
			ends := start.Add(3 * time.Second)
			r := newRejectingServers(4, plain)
			random := rand.New(rand.NewPCG(1, 2))
			r.rejects = func(now time.Time, _ string) bool { return now.Before(ends) && random.Float64() < 0.6 }
			r.answerTime = func(now time.Time) time.Duration {
				if now.Before(ends) {
					return 250 * time.Millisecond
				}
				return fast(now)
			}
			r.run(5*time.Millisecond, start, ends)
			c.Assert(r.refused[masticerror.KindNoServer], qt.Equals, 0)
			r.run(5*time.Millisecond, ends.Add(time.Second), ends.Add(2*time.Second))
			c.Assert(r.refused, qt.HasLen, 0)
			for i := range 4 {
				n := r.got[fmt.Sprint("engine", i)] + r.got[fmt.Sprint("server", i)]
				c.Assert(n > 30, qt.IsTrue, qt.Commentf("%v", r.got))
			}
		})
	}
}
