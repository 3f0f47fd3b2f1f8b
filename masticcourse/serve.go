package masticcourse

import (
	"context"
	"errors"
	"net/http"
	"time"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticdocument"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const (
	// quotaPatience bounds the wait for a grant: one comes within a round trip to the leader,
	// or after the leader's other grants of some tens of milliseconds.
	quotaPatience = 250 * time.Millisecond
	// extraSends bounds the sends beyond a route's attempts that servers may answer as not run.
	extraSends = 2
	// usablePart is the part of a route's target for which a request waits while no backend
	// server is usable: its caller may come back, and another host may know of one.
	usablePart = 6
	// leastTime is the time left below which no attempt is begun.
	leastTime = 15 * time.Millisecond
)

// run is the state of one request.
type run struct {
	course  *Course
	writer  http.ResponseWriter
	call    *Call
	route   masticdocument.Route
	tenant  masticdocument.Tenant
	pool    masticdocument.Pool
	service masticview.Service

	deadline time.Time
	avoid    []string
	attempts int64
	sends    int64
	// ran reports that a backend server may have run the request.
	ran bool
	// begun reports that the head of the answer was passed on.
	begun  bool
	events events
	server string
	status int
	// firstAt is when the first byte of the answer was passed on.
	firstAt time.Time
}

// Serve answers one call. A call that cannot be answered whole ends with its connection, by
// a panic with http.ErrAbortHandler.
func (c *Course) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	c.running.Add(1)
	defer c.running.Add(-1)
	r := &run{course: c, writer: w, call: call}
	err := r.serve(ctx)
	r.log(err)
	c.measures.outcome(r, err, time.Now())
	switch {
	case err == nil:
	case r.begun || err.Kind() == masticerror.KindCancelled:
		panic(http.ErrAbortHandler)
	default:
		c.callers.Refuse(w, err)
	}
}

func (r *run) serve(ctx context.Context) *masticerror.Error {
	if err := r.admit(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	admission, err := r.takeQuota(ctx)
	if err != nil {
		return err
	}
	r.course.firstAttempt(r.pool.Name)
	e := r.attemptAll(ctx)
	if admission != nil && e != nil && !r.ran {
		admission.Settle(0)
	}
	return e
}

// admit finds the route, the workspace and the pool.
func (r *run) admit(ctx context.Context) *masticerror.Error {
	c := r.course
	t, err := c.documented(ctx)
	if err != nil {
		return err
	}
	if c.lease != nil && !c.lease.Leased(masticclock.Now()) {
		return unavailable(c, masticerror.KindNoLease, "this host's view lease has ended")
	}
	route, ok := t.index.Route(r.call.Host, r.call.Path)
	if !ok {
		return masticerror.New(masticerror.KindNotFound, "no route for %s%s", r.call.Host, r.call.Path)
	}
	r.route = route
	if !route.Open && t.index.Keyed() {
		if r.tenant, ok = t.index.TenantOf(r.call.Key); !ok || !r.call.HasKey {
			return masticerror.New(masticerror.KindUnauthenticated, "the key is not known")
		}
	}
	r.deadline = r.call.Received.Add(route.Timeout)
	if !r.call.Deadline.IsZero() && r.call.Deadline.Before(r.deadline) {
		r.deadline = r.call.Deadline
	}
	r.pool, _ = t.index.Pool(c.pick(route.Targets))
	r.service = t.services[r.pool.Name]
	r.service.Name = r.pool.Name
	return nil
}

// takeQuota takes the request's tokens from its workspace's quota.
func (r *run) takeQuota(ctx context.Context) (masticcall.Admission, *masticerror.Error) {
	if r.tenant.RateTokensPerSecond == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, quotaPatience)
	defer cancel()
	began := time.Now()
	a, err := r.course.limiter.Admit(ctx, r.tenant.Name, r.call.tokens(r.tenant))
	r.course.measures.quotaWait.Update(time.Since(began).Milliseconds())
	if err != nil {
		return nil, masticerror.From(err)
	}
	return a, nil
}

// attemptAll sends the request until it is answered or may not be sent again.
func (r *run) attemptAll(ctx context.Context) *masticerror.Error {
	for {
		f := r.attempt(ctx)
		if f == nil {
			return nil
		}
		if !r.mayRepeat(ctx, f) {
			return r.final(ctx, f)
		}
	}
}

// mayRepeat reports whether the request may be sent once more after f.
func (r *run) mayRepeat(ctx context.Context, f *masticbackend.Failure) bool {
	if ctx.Err() != nil || time.Until(r.deadline) < leastTime || !r.repeatable(f) {
		return false
	}
	if !r.course.again(r.pool.Name) {
		r.course.measures.overBudget.Inc(1)
		return false
	}
	r.course.measures.retries.Inc(1)
	if r.begun {
		r.course.measures.resumed.Inc(1)
	}
	return true
}

func (r *run) repeatable(f *masticbackend.Failure) bool {
	switch {
	case f.Err.Kind() == masticerror.KindCancelled || r.sends == 0:
		// Without a send it was the assignment that failed.
		return false
	case r.sends >= max(1, r.route.Attempts)+extraSends:
		return false
	case !f.Sent:
		return true
	case r.begun && !(r.route.Resumable && r.events.count > 0):
		return false
	}
	return r.route.Idempotent() && r.attempts < r.route.Attempts
}

// final returns what the caller is told after the last attempt.
func (r *run) final(ctx context.Context, f *masticbackend.Failure) *masticerror.Error {
	switch {
	case r.begun:
		return f.Err
	case errors.Is(ctx.Err(), context.Canceled):
		return masticerror.New(masticerror.KindCancelled, "the caller went away")
	case !r.ran:
		return notRun(r.course, f.Err)
	case f.Err.Kind() == masticerror.KindDeadline || ctx.Err() != nil:
		return masticerror.New(masticerror.KindDeadline, "the deadline passed").WithSent()
	default:
		return f.Err.WithSent()
	}
}

// notRun returns e as a refusal that states truthfully that the request has not run.
func notRun(c *Course, e *masticerror.Error) *masticerror.Error {
	switch e.Kind() {
	case masticerror.KindOverloaded, masticerror.KindNoServer, masticerror.KindQuarantined, masticerror.KindRateLimited:
		return e
	default:
		return unavailable(c, masticerror.KindOverloaded, "no backend server took the request: %s", e.Message())
	}
}

// acquire assigns a backend server.
func (r *run) acquire(ctx context.Context) (masticcall.Assignment, error) {
	if !r.pool.Engine {
		return r.course.dispatcher.AcquireService(ctx, r.service, r.avoid)
	}
	firstBy := r.call.Received.Add(r.route.Target)
	return r.course.dispatcher.Acquire(ctx, masticcall.Request{
		ID:           r.call.ID,
		Workspace:    cacheOwner(r.tenant),
		Weight:       1,
		Model:        masticview.PoolModel(r.pool.Name, r.call.Model),
		Class:        class(r.call),
		Weights:      r.call.Model,
		Levels:       r.call.Levels,
		PromptTokens: r.call.InputTokens,
		OutputTokens: r.call.OutputTokens,
		Digest:       masticview.DigestOf(r.call.Body),
		FirstTokenBy: firstBy,
		Deadline:     r.deadline,
		UsableBy:     r.call.Received.Add(r.route.Target / usablePart),
		Avoid:        r.avoid,
		Attempt:      0,
	})
}

// attempt sends the request to one backend server and passes the answer on.
func (r *run) attempt(ctx context.Context) *masticbackend.Failure {
	a, err := r.acquire(ctx)
	if err != nil {
		return &masticbackend.Failure{Err: masticerror.From(err)}
	}
	server := a.Server()
	r.server = server.Name
	r.sends++
	f := r.exchange(ctx, a)
	result := masticcall.Result{CachedUnknown: true, ServerIncarnation: server.Incarnation}
	if f != nil {
		result.Failure, result.ServerEnded = string(f.Err.Kind()), f.Ended
		r.avoid = append(r.avoid, server.Name)
		if f.Sent {
			r.ran = true
			r.attempts++
		}
		r.logAttempt(f)
	}
	a.Done(time.Now(), result)
	return f
}

// lastEvent returns the identifier of the last event that the caller has: from this answer,
// or from the one that its request resumes.
func (r *run) lastEvent() string {
	if r.events.last != "" {
		return r.events.last
	}
	return r.call.LastEvent
}

func (r *run) exchange(ctx context.Context, a masticcall.Assignment) *masticbackend.Failure {
	c, now := r.course, time.Now()
	server := a.Server()
	attempt := Attempt{
		Server: server, Workspace: r.tenant.Name, Priority: -1, Deadline: r.deadline, LastEvent: r.lastEvent(),
	}
	if r.pool.Engine {
		attempt.Priority, attempt.Salt, attempt.Weights = priority(r.route, r.tenant), salt(r.tenant, server.WeightsVersion), server.WeightsVersion
		attempt.Fetch, attempt.Save = a.Fetch(), a.Save()
	}
	answer, err := c.client.Do(ctx, masticbackend.Request{
		Address: server.Address(), ID: r.call.ID, Method: r.call.Method, URI: r.call.URI, Host: r.call.Host,
		Header: c.backends.Header(r.call, attempt, now), Body: r.call.Body, Deadline: r.deadline,
	})
	if err != nil {
		var f *masticbackend.Failure
		if errors.As(err, &f) {
			return f
		}
		return &masticbackend.Failure{Err: masticerror.From(err), Sent: true}
	}
	defer answer.Close()
	return r.relay(a, answer)
}
