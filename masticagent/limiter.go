package masticagent

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquota"
	"masticladder/masticring"
)

const (
	limiterEventCapacity = 8192
	// waitingPollInterval is the poll interval while requests wait, idlePollInterval the one at
	// which grants are otherwise refilled.
	waitingPollInterval = 5 * time.Millisecond
	idlePollInterval    = 100 * time.Millisecond
)

// limiter implements masticcall.Limiter. Its loop is the only goroutine that uses the holder.
type limiter struct {
	agent    *Agent
	holder   *masticquota.Holder
	events   *masticring.Ring[limiterEvent]
	requests *masticring.Ring[[]masticquota.GrantRequest]
	waiting  map[uint64]*admission
	// unansweredSince is when the oldest request without an answer was sent, nil for none.
	unansweredSince atomic.Pointer[time.Time]
}

// limiterEvent is an event for the loop; exactly one field is set.
type limiterEvent struct {
	admit   *admission
	abandon *admission
	settle  *settlement
	answers []masticquota.GrantAnswer
	drain   chan map[string][]masticquota.GrantReport
}

// admission is a request that waits to be admitted or was admitted.
type admission struct {
	limiter   *limiter
	workspace string
	tokens    int64
	waitUntil time.Time
	ticket    uint64
	decided   chan masticquota.Decision
}

type settlement struct {
	ticket uint64
	used   int64
}

func newLimiter(a *Agent) *limiter {
	return &limiter{
		agent:    a,
		holder:   masticquota.NewHolder(a.host, a.incarnation),
		events:   masticring.New[limiterEvent]("limiter events", limiterEventCapacity),
		requests: masticring.New[[]masticquota.GrantRequest]("quota demands", 16),
		waiting:  map[uint64]*admission{},
	}
}

// Admit takes tokens from the workspace's quota. It waits for a grant as long as one can arrive
// before ctx ends.
func (l *limiter) Admit(ctx context.Context, workspace string, tokens int64, tokensBy time.Time) (masticcall.Admission, error) {
	a, err := l.acquire(ctx, workspace, tokens, tokensBy)
	if err != nil {
		l.agent.admissions.Refused.Add(1)
	}
	return a, err
}

// acquire tries in turn what may admit a request: the keepers of quotas if there are some; else this host's
// outage share if the control hosts are unreachable or the quota owner is unresponsive, the standing share for a
// small request, a grant of the owner, and a share again if ctx ends before the grant is decided, also when the
// caller cancels. A request that the holder refuses, also because its waitUntil has passed, gets no share.
func (l *limiter) acquire(ctx context.Context, workspace string, tokens int64, tokensBy time.Time) (masticcall.Admission, error) {
	if k := l.agent.keepers; k != nil && k.Divided() {
		return l.acquireFromKeepers(ctx, workspace, tokens, tokensBy)
	}
	if s := l.agent.outageShares; s != nil && (!l.agent.ControlReachable() || l.ownerUnresponsive(masticclock.Now())) {
		return s.admit(masticclock.Now(), workspace, tokens)
	}
	if s := l.agent.standingShares; s != nil && tokens <= smallRequestTokens {
		if a, err := s.admit(masticclock.Now(), workspace, tokens); err == nil {
			return a, nil
		}
	}
	waitUntil, bounded := ctx.Deadline()
	if !bounded {
		waitUntil = masticclock.Now().Add(l.agent.reserveTimeout)
	}
	a := &admission{limiter: l, workspace: workspace, tokens: tokens, waitUntil: waitUntil, decided: make(chan masticquota.Decision, 1)}
	if err := l.events.Offer(limiterEvent{admit: a}); err != nil {
		return nil, err
	}
	select {
	case d := <-a.decided:
		return a.result(d)
	case <-ctx.Done():
		_ = l.events.Offer(limiterEvent{abandon: a})
		if s := l.fallbackShares(masticclock.Now()); s != nil {
			return s.admit(masticclock.Now(), workspace, tokens)
		}
		return nil, masticerror.Wrap(ctx.Err(), masticerror.KindRateLimited, "workspace %q got no grant in time", workspace)
	}
}

// acquireFromKeepers charges a request at the keepers. If too few of them answer, the standing share admits it while it
// has the tokens. It also admits small requests over the rate that keepers give out, which leaves the shares of
// workspaces within their rates full for the time when keepers give no answer.
func (l *limiter) acquireFromKeepers(ctx context.Context, workspace string, tokens int64, tokensBy time.Time) (masticcall.Admission, error) {
	a, err := l.agent.keepers.Admit(ctx, workspace, tokens, tokensBy)
	if err == nil {
		l.agent.admissions.Kept.Add(1)
		return a, nil
	}
	s := l.agent.standingShares
	if s == nil || masticerror.KindOf(err) != masticerror.KindRateLimited {
		return nil, err
	}
	if tokens <= smallRequestTokens || errors.Is(err, masticcall.ErrUnanswered) {
		if a, shareErr := s.admit(masticclock.Now(), workspace, tokens); shareErr == nil {
			return a, nil
		}
	}
	return nil, err
}

// fallbackShares returns the shares to use when ctx ended before a grant arrived, or nil.
func (l *limiter) fallbackShares(now time.Time) *shares {
	if l.agent.outageShares != nil && l.ownerUnresponsive(now) {
		return l.agent.outageShares
	}
	return l.agent.standingShares
}

// ownerAnswerTimeout is the time without an answer after which the quota owner counts as
// unresponsive. An answer normally takes a few milliseconds.
const ownerAnswerTimeout = 200 * time.Millisecond

// ownerUnresponsive reports whether the quota owner has left a request unanswered for longer
// than ownerAnswerTimeout, so that this host gets no grants.
func (l *limiter) ownerUnresponsive(now time.Time) bool {
	since := l.unansweredSince.Load()
	return since != nil && now.Sub(*since) > ownerAnswerTimeout
}

func (a *admission) result(d masticquota.Decision) (masticcall.Admission, error) {
	if d.Verdict == masticquota.Admitted {
		a.limiter.agent.admissions.Granted.Add(1)
		return a, nil
	}
	e := masticerror.New(masticerror.KindRateLimited, "workspace %q is over its rate", a.workspace)
	return nil, e.WithRetryAfter(d.RetryAfter)
}

// Settle returns unused tokens. If the loop is overloaded, they count as spent.
func (a *admission) Settle(usedTokens int64) {
	e := limiterEvent{settle: &settlement{ticket: a.ticket, used: usedTokens}}
	if err := a.limiter.events.Offer(e); err != nil {
		a.limiter.agent.log.WithError(err).Warn("unused tokens were not returned")
	}
}

// loop handles events and polls the holder until the ring is closed.
func (l *limiter) loop() {
	defer l.agent.running.Done()
	defer l.requests.Close()
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	for {
		select {
		case e, ok := <-l.events.Out():
			if !ok {
				l.refuseWaiting()
				return
			}
			l.handle(masticclock.Now(), e)
		case <-timer.C:
		}
		l.poll(masticclock.Now())
		timer.Reset(l.pollInterval())
	}
}

func (l *limiter) pollInterval() time.Duration {
	if len(l.waiting) > 0 {
		return waitingPollInterval
	}
	return idlePollInterval
}

func (l *limiter) handle(now time.Time, e limiterEvent) {
	switch {
	case e.admit != nil:
		l.admit(now, e.admit)
	case e.abandon != nil:
		l.abandon(now, e.abandon)
	case e.settle != nil:
		l.deliver(l.holder.Settle(now, e.settle.ticket, e.settle.used))
	case e.drain != nil:
		e.drain <- l.holder.Drain(now)
	default:
		for _, a := range e.answers {
			l.deliver(l.holder.Answer(now, a))
		}
	}
}

func (l *limiter) admit(now time.Time, a *admission) {
	d := l.holder.Admit(now, a.workspace, a.tokens, a.waitUntil)
	a.ticket = d.Ticket
	if d.Verdict == masticquota.Waiting {
		l.waiting[d.Ticket] = a
		return
	}
	a.decided <- d
}

// abandon removes a waiting request whose caller has stopped waiting. If it was admitted in the
// meantime, its tokens are returned.
func (l *limiter) abandon(now time.Time, a *admission) {
	if _, waits := l.waiting[a.ticket]; waits {
		delete(l.waiting, a.ticket)
		l.holder.Abandon(a.workspace, a.ticket)
		return
	}
	l.deliver(l.holder.Settle(now, a.ticket, 0))
}

func (l *limiter) deliver(decisions []masticquota.Decision) {
	for _, d := range decisions {
		if a, ok := l.waiting[d.Ticket]; ok {
			delete(l.waiting, d.Ticket)
			a.decided <- d
		}
	}
}

// poll refuses requests that can no longer be admitted, and queues grant requests.
func (l *limiter) poll(now time.Time) {
	l.deliver(l.holder.Expire(now))
	requests := l.holder.Requests(now)
	if len(requests) == 0 {
		return
	}
	if err := l.requests.Offer(requests); err != nil {
		l.agent.log.WithError(err).Warn("quota requests were not queued; they are retried")
	}
}

func (l *limiter) refuseWaiting() {
	for _, a := range l.waiting {
		a.decided <- masticquota.Decision{Verdict: masticquota.Refused}
	}
}

// drain closes all grants and returns the reports of their unspent tokens by workspace.
func (l *limiter) drain() map[string][]masticquota.GrantReport {
	drained := make(chan map[string][]masticquota.GrantReport, 1)
	if err := l.events.Offer(limiterEvent{drain: drained}); err != nil {
		return nil
	}
	return <-drained
}

// run sends queued requests to the owner, one call at a time.
func (l *limiter) run(ctx context.Context) {
	defer l.agent.running.Done()
	for requests := range l.requests.Out() {
		q := &masticproto.QuotaRequest{}
		for _, r := range requests {
			q.Demands = append(q.Demands, quotaDemand(r))
		}
		if l.unansweredSince.Load() == nil {
			now := masticclock.Now()
			l.unansweredSince.Store(&now)
		}
		answers, err := l.callOwner(ctx, q)
		if err != nil {
			l.agent.log.WithError(err).Debug("quota request failed")
			l.waitForOwner(ctx)
			continue
		}
		l.unansweredSince.Store(nil)
		if err := l.events.Offer(limiterEvent{answers: answers}); err != nil {
			l.agent.log.WithError(err).Warn("quota grants were not queued; they count as spent")
		}
	}
}

// ownerProbeInterval is the time between two probes of an owner that left a request unanswered.
const ownerProbeInterval = 100 * time.Millisecond

// waitForOwner probes the owner with empty requests until it answers. While the owner counts as
// unresponsive, callers' requests are admitted without it and cause no grant requests, so that
// nothing else would detect that it answers again. Grant requests queued meanwhile are outdated
// and are discarded.
func (l *limiter) waitForOwner(ctx context.Context) {
	began := masticclock.Now()
	ticker := time.NewTicker(ownerProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := l.callOwner(ctx, &masticproto.QuotaRequest{}); err == nil {
			break
		}
	}
	for {
		if _, waits := l.requests.Take(); !waits {
			break
		}
	}
	l.unansweredSince.Store(nil)
	l.agent.log.WithField("silentMillis", masticclock.Now().Sub(began).Milliseconds()).Info("the owner of the quota answers again")
}

func (l *limiter) callOwner(ctx context.Context, q *masticproto.QuotaRequest) ([]masticquota.GrantAnswer, error) {
	a, err := l.agent.leader.callOnce(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Quota{Quota: q}}, l.agent.renewTimeout)
	if err != nil {
		return nil, err
	}
	var answers []masticquota.GrantAnswer
	for _, g := range a.answer.GetQuota().GetGrants() {
		answers = append(answers, grantAnswer(g))
	}
	return answers, nil
}
