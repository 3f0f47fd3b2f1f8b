package masticagent

import (
	"context"
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
	limiterEvents = 8192
	// waitingPoll is how often waiting requests are checked, idlePoll how often grants are refilled.
	waitingPoll = 5 * time.Millisecond
	idlePoll    = 100 * time.Millisecond
)

// limiter implements masticcall.Limiter. Its loop owns the grants of this host.
type limiter struct {
	agent   *Agent
	holder  *masticquota.Holder
	events  *masticring.Ring[limiterEvent]
	demands *masticring.Ring[[]masticquota.GrantRequest]
	waiting map[uint64]*admission
	// askedAt is when the oldest demand without an answer was sent, nil for none.
	askedAt atomic.Pointer[time.Time]
}

// limiterEvent is one thing that the loop takes; exactly one field is set.
type limiterEvent struct {
	admit   *admission
	abandon *admission
	settle  *settlement
	answers []masticquota.GrantAnswer
	drained chan map[string][]masticquota.GrantReport
}

// admission is a request that was or waits to be admitted.
type admission struct {
	limiter   *limiter
	workspace string
	tokens    int64
	until     time.Time
	ticket    uint64
	decided   chan masticquota.Decision
}

type settlement struct {
	ticket uint64
	used   int64
}

func newLimiter(a *Agent) *limiter {
	return &limiter{
		agent:   a,
		holder:  masticquota.NewHolder(a.host, a.incarnation),
		events:  masticring.New[limiterEvent]("limiter events", limiterEvents),
		demands: masticring.New[[]masticquota.GrantRequest]("quota demands", 16),
		waiting: map[uint64]*admission{},
	}
}

// Admit takes tokens from the workspace's quota, waiting for a grant while one can
// still come before ctx ends.
func (l *limiter) Admit(ctx context.Context, workspace string, tokens int64) (masticcall.Admission, error) {
	a, err := l.admission(ctx, workspace, tokens)
	if err != nil {
		l.agent.admissions.Refused.Add(1)
	}
	return a, err
}

// admission asks what may admit a request, in turn: this host's share while the owner is out of
// reach, the standing share for a small one, the owner, and the shares again where it is late.
func (l *limiter) admission(ctx context.Context, workspace string, tokens int64) (masticcall.Admission, error) {
	if s := l.agent.shares; s != nil && (!l.agent.Reached() || l.silent(masticclock.Now())) {
		return s.admit(masticclock.Now(), workspace, tokens)
	}
	if s := l.agent.standing; s != nil && tokens <= smallTokens {
		if a, err := s.admit(masticclock.Now(), workspace, tokens); err == nil {
			return a, nil
		}
	}
	until, bounded := ctx.Deadline()
	if !bounded {
		until = masticclock.Now().Add(l.agent.reservePatience)
	}
	a := &admission{limiter: l, workspace: workspace, tokens: tokens, until: until, decided: make(chan masticquota.Decision, 1)}
	if err := l.events.Offer(limiterEvent{admit: a}); err != nil {
		return nil, err
	}
	select {
	case d := <-a.decided:
		return a.result(d)
	case <-ctx.Done():
		_ = l.events.Offer(limiterEvent{abandon: a})
		if s := l.late(masticclock.Now()); s != nil {
			return s.admit(masticclock.Now(), workspace, tokens)
		}
		return nil, masticerror.Wrap(ctx.Err(), masticerror.KindRateLimited, "workspace %q got no grant in time", workspace)
	}
}

// late returns the shares that stand in for a grant that did not come in time, or nil.
func (l *limiter) late(now time.Time) *shares {
	if l.agent.shares != nil && l.silent(now) {
		return l.agent.shares
	}
	return l.agent.standing
}

// ownerSilence is for how long a demand may be unanswered before the owner of the quota
// counts as out of reach; an answer takes some milliseconds.
const ownerSilence = 200 * time.Millisecond

// silent reports whether the owner of the quota leaves a demand unanswered, so that nothing
// is granted to this host.
func (l *limiter) silent(now time.Time) bool {
	asked := l.askedAt.Load()
	return asked != nil && now.Sub(*asked) > ownerSilence
}

func (a *admission) result(d masticquota.Decision) (masticcall.Admission, error) {
	if d.Verdict == masticquota.Admitted {
		a.limiter.agent.admissions.Granted.Add(1)
		return a, nil
	}
	e := masticerror.New(masticerror.KindRateLimited, "workspace %q is over its rate", a.workspace)
	return nil, e.WithRetryAfter(d.RetryAfter)
}

// Settle gives back what was not used. When the loop is overloaded the tokens count as spent.
func (a *admission) Settle(usedTokens int64) {
	e := limiterEvent{settle: &settlement{ticket: a.ticket, used: usedTokens}}
	if err := a.limiter.events.Offer(e); err != nil {
		a.limiter.agent.log.WithError(err).Warn("unused tokens were not given back")
	}
}

// loop owns the holder until the ring is closed.
func (l *limiter) loop() {
	defer l.agent.running.Done()
	defer l.demands.Close()
	timer := time.NewTimer(idlePoll)
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
		l.turn(masticclock.Now())
		timer.Reset(l.pause())
	}
}

func (l *limiter) pause() time.Duration {
	if len(l.waiting) > 0 {
		return waitingPoll
	}
	return idlePoll
}

func (l *limiter) handle(now time.Time, e limiterEvent) {
	switch {
	case e.admit != nil:
		l.admit(now, e.admit)
	case e.abandon != nil:
		l.abandon(now, e.abandon)
	case e.settle != nil:
		l.decide(l.holder.Settle(now, e.settle.ticket, e.settle.used))
	case e.drained != nil:
		e.drained <- l.holder.Drain(now)
	default:
		for _, a := range e.answers {
			l.decide(l.holder.Answer(now, a))
		}
	}
}

func (l *limiter) admit(now time.Time, a *admission) {
	d := l.holder.Admit(now, a.workspace, a.tokens, a.until)
	a.ticket = d.Ticket
	if d.Verdict == masticquota.Waiting {
		l.waiting[d.Ticket] = a
		return
	}
	a.decided <- d
}

// abandon gives back what was admitted while the caller went away.
func (l *limiter) abandon(now time.Time, a *admission) {
	if _, waits := l.waiting[a.ticket]; waits {
		delete(l.waiting, a.ticket)
		l.holder.Abandon(a.workspace, a.ticket)
		return
	}
	l.decide(l.holder.Settle(now, a.ticket, 0))
}

func (l *limiter) decide(decisions []masticquota.Decision) {
	for _, d := range decisions {
		if a, ok := l.waiting[d.Ticket]; ok {
			delete(l.waiting, d.Ticket)
			a.decided <- d
		}
	}
}

// turn refuses what can no longer be admitted and asks for grants.
func (l *limiter) turn(now time.Time) {
	l.decide(l.holder.Expire(now))
	requests := l.holder.Requests(now)
	if len(requests) == 0 {
		return
	}
	if err := l.demands.Offer(requests); err != nil {
		l.agent.log.WithError(err).Warn("a demand for quota was not sent; it is repeated")
	}
}

func (l *limiter) refuseWaiting() {
	for _, a := range l.waiting {
		a.decided <- masticquota.Decision{Verdict: masticquota.Refused}
	}
}

// drain hands back all that is not spent; afterwards nothing is admitted from it.
func (l *limiter) drain() map[string][]masticquota.GrantReport {
	drained := make(chan map[string][]masticquota.GrantReport, 1)
	if err := l.events.Offer(limiterEvent{drained: drained}); err != nil {
		return nil
	}
	return <-drained
}

// run sends demands to the owner, one call at a time.
func (l *limiter) run(ctx context.Context) {
	defer l.agent.running.Done()
	for requests := range l.demands.Out() {
		q := &masticproto.QuotaRequest{}
		for _, r := range requests {
			q.Demands = append(q.Demands, quotaDemand(r))
		}
		if l.askedAt.Load() == nil {
			now := masticclock.Now()
			l.askedAt.Store(&now)
		}
		answers, err := l.ask(ctx, q)
		if err != nil {
			l.agent.log.WithError(err).Debug("quota was not granted")
			l.awaitOwner(ctx)
			continue
		}
		l.askedAt.Store(nil)
		if err := l.events.Offer(limiterEvent{answers: answers}); err != nil {
			l.agent.log.WithError(err).Warn("a grant was not taken; it counts as spent")
		}
	}
}

// ownerProbe is the time between two questions to an owner that left one unanswered.
const ownerProbe = 100 * time.Millisecond

// awaitOwner asks the owner for nothing until it answers. While it counts as silent, requests
// are admitted without it and raise no demands, so nothing else would show that it is back.
// Demands that waited meanwhile are out of date.
func (l *limiter) awaitOwner(ctx context.Context) {
	began := masticclock.Now()
	ticker := time.NewTicker(ownerProbe)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := l.ask(ctx, &masticproto.QuotaRequest{}); err == nil {
			break
		}
	}
	for {
		if _, waits := l.demands.Take(); !waits {
			break
		}
	}
	l.askedAt.Store(nil)
	l.agent.log.WithField("silentMillis", masticclock.Now().Sub(began).Milliseconds()).Info("the owner of the quota answers again")
}

func (l *limiter) ask(ctx context.Context, q *masticproto.QuotaRequest) ([]masticquota.GrantAnswer, error) {
	a, err := l.agent.leader.once(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Quota{Quota: q}}, l.agent.renewTimeout)
	if err != nil {
		return nil, err
	}
	var answers []masticquota.GrantAnswer
	for _, g := range a.answer.GetQuota().GetGrants() {
		answers = append(answers, grantAnswer(g))
	}
	return answers, nil
}
