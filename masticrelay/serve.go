package masticrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticdetector"
	"masticladder/masticdocument"
	"masticladder/masticdrain"
	"masticladder/masticerror"
	"masticladder/mastichold"
	"masticladder/masticrollout"
	"masticladder/masticview"
)

const (
	// quotaTimeout bounds the wait for a quota grant. A grant takes one round trip to the leader,
	// plus some tens of milliseconds if the leader handles other grants first.
	quotaTimeout = 250 * time.Millisecond
	// tokenWait bounds the wait for tokens that the rate has yet to yield. A workspace that stays over its rate gets as many
	// requests through whatever each waits, and all of them late with a long wait. It is the same for all requests: those
	// that could wait longer would be lent the tokens of the others.
	tokenWait = 50 * time.Millisecond
	// maxExtraAttempts bounds the attempts beyond those of the route, for servers that respond
	// that the request has not run.
	maxExtraAttempts = 2
	// usableTimeoutDivisor bounds the wait of a request while no backend server is usable: it
	// waits at most Target/usableTimeoutDivisor. The wait is short because the caller may retry,
	// and another host may know of a usable server.
	usableTimeoutDivisor = 6
	// holdTimeout bounds one request for a hold, which takes a commit of the control group, and holdTimeoutDivisor the
	// part of the rest of the request's time that it may take. A request that has ended servers does not run without
	// one, and hosts that decide on parts of prompts by themselves end more servers. unreachableHoldTimeout is the bound while
	// control does not answer.
	holdTimeout            = time.Second
	holdTimeoutDivisor     = 3
	unreachableHoldTimeout = 250 * time.Millisecond
	// verdictTimeout bounds the wait for a verdict on a server on which the request failed, so that its
	// next attempt, and its caller's, come after the report. A live server answers a check within some
	// milliseconds. heldVerdictTimeout is that of a suspect.
	verdictTimeout     = 50 * time.Millisecond
	heldVerdictTimeout = 400 * time.Millisecond
	// minRemainingTime is the time before the deadline below which no attempt is started.
	minRemainingTime = 15 * time.Millisecond
)

// requestState is the state of one request over all its attempts.
type requestState struct {
	relay     *Relay
	writer    http.ResponseWriter
	call      *Call
	route     masticdocument.Route
	workspace masticdocument.Workspace
	pool      masticdocument.Pool
	service   masticview.Service
	// admission is the quota that the request took from its workspace, nil if that has no rate.
	admission masticcall.Admission
	// cacheScope is that of the workspace under the view of the last check.
	cacheScope string

	// content identifies the request over all hosts and callers' retries, and what it has in common with
	// others.
	content  masticcall.Content
	deadline time.Time
	avoid    []string
	// possibleRuns counts the failed attempts in which a backend server may have run the request.
	possibleRuns int64
	// attempts counts the assigned backend servers, also those that were not reached. Logs call
	// it "sends".
	attempts int64
	// mayHaveRun reports that a backend server may have run the request.
	mayHaveRun bool
	// held reports that the running attempt has an exclusive hold of its backend server.
	held bool
	// headerWritten reports that the header of the response was relayed to the caller.
	headerWritten bool
	// untilEnd is the scope of the running attempt.
	untilEnd *masticdrain.Scope
	events   eventSplitter
	server   string
	// software is the software version of server.
	software string
	origin   streamOrigin
	// placement is where the rollout of the service let the running attempt go, nil without an attempt. placed reports that
	// an attempt of the request had one.
	placement *masticrollout.Placement
	placed    bool
	status    int
	// firstByteAt is when the header of the response was relayed.
	firstByteAt time.Time
}

// Serve serves one call. If the response cannot be completed or the caller has gone, it panics
// with http.ErrAbortHandler to close the connection.
func (c *Relay) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	if call.Running == nil {
		defer c.Begin(call).End()
	}
	call.Running.Set(masticdrain.Progress{Stage: masticdrain.StageAdmit})
	r := &requestState{relay: c, writer: w, call: call}
	r.events.memory = c.answers.Reserve()
	defer r.events.memory.Release()
	err := r.serve(ctx)
	r.endPlacement(masticrollout.Outcome{Unknown: true})
	r.endOrigin()
	r.logOutcome(err)
	c.metrics.recordOutcome(r, err, time.Now())
	switch {
	case err == nil:
	case r.headerWritten || err.Kind() == masticerror.KindCancelled:
		panic(http.ErrAbortHandler)
	default:
		c.announceClose(w.Header())
		c.callers.WriteError(w, err)
	}
}

func (r *requestState) serve(ctx context.Context) *masticerror.Error {
	if err := r.resolve(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	ctx, watch := r.call.Connection.Watch(ctx)
	defer watch.Stop()
	if err := r.waitingError(time.Now()); err != nil {
		return err
	}
	var err *masticerror.Error
	if r.admission, err = r.acquireQuota(ctx, r.workspace); err != nil {
		return err
	}
	r.relay.recordFirstAttempt(r.pool.Name)
	e := r.sendWithRetries(ctx)
	r.settleQuota(r.usedTokens(e))
	return e
}

// usedTokens returns the tokens that are charged to the workspace: none if the request has not run,
// otherwise all that it was admitted for, since the answer does not state how many it used.
func (r *requestState) usedTokens(e *masticerror.Error) int64 {
	if e != nil && !r.mayHaveRun {
		return 0
	}
	return r.call.tokens(r.workspace)
}

// resolve finds the route, the workspace, the deadline and the pool of the request.
func (r *requestState) resolve(ctx context.Context) *masticerror.Error {
	c := r.relay
	t, err := c.waitForTable(ctx)
	if err != nil {
		return err
	}
	if err := c.leaseError(); err != nil {
		return err
	}
	route, ok := t.index.Route(r.call.Host, r.call.Path)
	if !ok {
		return c.outdatedOr(masticerror.New(masticerror.KindNotFound, "no route for %s%s", r.call.Host, r.call.Path))
	}
	r.route = route
	if r.workspace, ok = r.authenticate(t); !ok {
		return c.outdatedOr(errUnknownKey())
	}
	r.cacheScope = cacheScope(t.view, r.workspace)
	r.deadline = deadlineOf(route, r.call)
	r.call.Running.Set(r.call.Running.Progress().WithRoute(route.Name, r.deadline))
	if err := c.endError(route, r.deadline); err != nil {
		return err
	}
	r.pool, _ = t.index.Pool(pickPool(route.Targets, r.call.streamID()))
	r.content = r.contentOf()
	r.service = t.services[r.pool.Name]
	r.service.Name = r.pool.Name
	if err := r.quarantineError(t); err != nil {
		return err
	}
	return r.findOrigin(ctx, t)
}

// contentOf returns the content of the request. Only engines work on the parts of a prompt.
func (r *requestState) contentOf() masticcall.Content {
	c := masticcall.Content{Digest: digestOf(r.call, r.workspace.Name)}
	if r.pool.Engine {
		c.Parts = masticcall.PartsOf(r.call.Levels)
	}
	return c
}

// acquireQuota takes the request's tokens from the quota of workspace w. The admission is nil if
// w has no rate.
func (r *requestState) acquireQuota(ctx context.Context, w masticdocument.Workspace) (masticcall.Admission, *masticerror.Error) {
	if !w.Limited() {
		return nil, nil
	}
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(quotaTimeout))
	defer cancel()
	a, err := r.relay.limiter.Admit(ctx, w.Name, r.call.tokens(w), began.Add(tokenWait))
	r.relay.metrics.quotaWait.Update(time.Since(began).Milliseconds())
	if err != nil {
		return nil, masticerror.From(err)
	}
	return a, nil
}

// settleQuota returns what the request did not use of its tokens.
func (r *requestState) settleQuota(usedTokens int64) {
	if r.admission != nil {
		r.admission.Settle(usedTokens)
	}
}

// sendWithRetries sends the request until it is answered or may not be retried.
func (r *requestState) sendWithRetries(ctx context.Context) *masticerror.Error {
	for {
		a, err := r.acquire(ctx)
		if err != nil {
			return r.finalError(ctx, &masticbackend.Failure{Err: masticerror.From(err)})
		}
		f := r.attempt(ctx, a)
		if f == nil {
			return nil
		}
		if !r.mayRetry(ctx, f) {
			return r.finalError(ctx, f)
		}
	}
}

// acquire assigns a backend server. A request that has ended backend servers gets one on which, over
// all hosts, no other such request runs.
func (r *requestState) acquire(ctx context.Context) (masticcall.Assignment, error) {
	r.call.Running.Set(r.call.Running.Progress().WithStage(masticdrain.StageServer))
	ctx, scope := r.scope(ctx)
	defer scope.End()
	a, held, err := mastichold.Acquire(ctx, mastichold.Request{
		Holds: r.relay.holds, Content: r.content, Deadline: r.deadline, Timeout: r.holdTimeout(), Acquire: r.acquireExcept, Now: time.Now,
	})
	r.held = held
	if err != nil && masticdrain.Error(ctx) != nil {
		return nil, r.relay.endingError()
	}
	return a, err
}

// scope returns a context for the wait for a server, which a planned end of the host ends.
func (r *requestState) scope(ctx context.Context) (context.Context, *masticdrain.Scope) {
	if r.mayHaveRun {
		return r.relay.plan.Sent(ctx)
	}
	return r.relay.plan.Waiting(ctx, r.deadline, repeatOf(r.route))
}

// holdTimeout returns the bound of one request for a hold.
func (r *requestState) holdTimeout() time.Duration {
	if o := r.relay.origins; o != nil && !o.Available() {
		return unreachableHoldTimeout
	}
	return min(holdTimeout, time.Until(r.deadline)/holdTimeoutDivisor)
}

// acquireExcept assigns a backend server other than the unavailable ones. The request is checked
// against the newest view before and after the wait for one.
func (r *requestState) acquireExcept(ctx context.Context, unavailable []string) (masticcall.Assignment, error) {
	if err := r.recheck(ctx); err != nil {
		return nil, err
	}
	a, err := r.assign(ctx, unavailable)
	if err != nil {
		return nil, err
	}
	if err := r.recheck(ctx); err != nil {
		a.Done(time.Now(), masticcall.Result{Failure: string(masticerror.KindCancelled)})
		return nil, err
	}
	return a, nil
}

// attempt sends the request to the assigned backend server and relays the response.
func (r *requestState) attempt(ctx context.Context, a masticcall.Assignment) *masticbackend.Failure {
	server := a.Server()
	watched, sentAt := r.relay.detector.Begin(server, server.Incarnation, r.content), time.Now()
	r.server, r.software = server.Name, server.Software
	r.call.Running.Set(r.call.Running.Progress().WithServer(masticdrain.StageAnswer, server.Name))
	r.attempts++
	r.recordOrigin(server)
	f := r.exchangeUntilEnd(ctx, a, watched)
	result := masticcall.Result{CachedUnknown: true, ServerIncarnation: server.Incarnation}
	if f != nil {
		result.Failure, result.ServerEnded, result.Paused = string(f.Err.Kind()), f.ServerEnded, f.Paused
		r.avoid = append(r.avoid, server.Name)
		if f.Sent {
			r.mayHaveRun = true
			r.possibleRuns++
		}
	}
	r.countAnswer(server, a.CachedTokens(), f, time.Since(sentAt))
	a.Done(time.Now(), result)
	verdict := r.observe(ctx, watched, f)
	if f != nil {
		r.logAttempt(server, f, time.Since(sentAt), verdict)
	}
	if r.held {
		r.endTrial(watched, server.Name, f)
		r.held = false
	}
	return f
}

// exchangeUntilEnd is exchange, which a planned end of the host ends unless the response has begun.
func (r *requestState) exchangeUntilEnd(ctx context.Context, a masticcall.Assignment, watched *masticdetector.Attempt) *masticbackend.Failure {
	ctx, scope := r.relay.plan.Sent(ctx)
	defer scope.End()
	r.untilEnd = scope
	if r.headerWritten {
		scope.Keep()
	}
	f := r.exchange(ctx, a, watched)
	if f != nil && masticdrain.Error(ctx) != nil {
		f.Err, f.ServerEnded = r.relay.endingError(), false
	}
	return f
}

// lastEventID returns the identifier of the last event that the caller received: in this
// response, or in the one that its request resumes.
func (r *requestState) lastEventID() string {
	if r.events.lastID != "" {
		return r.events.lastID
	}
	return r.call.LastEventID
}

// exchange sends the request to the assigned backend server and relays the response.
func (r *requestState) exchange(ctx context.Context, a masticcall.Assignment, watched *masticdetector.Attempt) *masticbackend.Failure {
	c, now := r.relay, time.Now()
	server := a.Server()
	attempt := Attempt{
		Server: server, Workspace: r.workspace.Name, Priority: -1, Deadline: r.deadline, LastEventID: r.lastEventID(),
	}
	if r.pool.Engine {
		version := server.VersionOf(r.call.Model)
		attempt.Priority, attempt.Salt, attempt.Weights = priority(r.route, r.workspace), masticcall.CacheSalt(r.cacheScope, version), version
		attempt.FetchAddress, attempt.SaveAddress = a.FetchAddress(), a.SaveAddress()
	}
	answer, f := r.send(ctx, attempt)
	if f != nil {
		return f
	}
	defer answer.Close()
	statement := c.observeStatement(server, r.call.ID, now, answer)
	c.answered(watched, answer)
	f = r.relayResponse(ctx, a, answer)
	if f != nil {
		f.Paused = statement.Paused()
	}
	return f
}

// send sends the request to the backend server of attempt, on a connection whose process is confirmed if it needs one.
func (r *requestState) send(ctx context.Context, attempt Attempt) (*masticbackend.Answer, *masticbackend.Failure) {
	server := attempt.Server
	q := masticbackend.Request{
		Address: server.Address(), ID: r.call.ID, Method: r.call.Method, URI: r.call.URI, Host: r.call.Host,
		Body: r.call.Body, Deadline: r.deadline, Prepare: (&preparation{request: r, attempt: attempt}).header,
	}
	if r.needsConfirmedServer() {
		q.Confirm = (&confirmation{request: r, server: server}).check
	}
	answer, err := r.relay.client.Do(ctx, q)
	if err == nil {
		return answer, nil
	}
	var f *masticbackend.Failure
	if errors.As(err, &f) {
		return nil, f
	}
	return nil, &masticbackend.Failure{Err: masticerror.From(err), Sent: true}
}
