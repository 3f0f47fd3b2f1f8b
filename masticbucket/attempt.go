package masticbucket

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// attempt is the attempt to charge one request.
type attempt struct {
	limiter   *Limiter
	workspace string
	// lifetime is how long charged tokens may be used, until when the request waits.
	lifetime time.Duration
	until    time.Time
	// piece is the number of tokens to charge at each of as many keepers as missing says.
	piece   int64
	missing int
	// extra is the number of tokens to charge ahead.
	extra   int64
	charged []credit
	// ended counts the keepers whose process has ended: their hosts refuse connections. unanswered counts those
	// that have not answered yet.
	ended, unanswered int
	// asked counts the questions, maxAsked bounds them unless it is zero.
	asked, maxAsked int
	throttle        throttleKey
	// substituteOf is that of the charges.
	substituteOf int
	// delays are those that keepers stated with their refusals.
	delays map[string]time.Duration
}

// divide makes the attempt charge the given number of pieces.
func (a *attempt) divide(tokens int64, pieces int) {
	a.piece, a.missing = (tokens+int64(pieces)-1)/int64(pieces), pieces
	a.charged, a.ended, a.unanswered, a.delays = nil, 0, 0, nil
}

// run charges until no piece is missing, and returns the refusal if some are.
// If the keepers are short of tokens, only as many of them are asked as there are pieces.
func (a *attempt) run(ctx context.Context, keepers []Host, bounded, short bool) error {
	shuffled := slices.Clone(keepers)
	a.limiter.shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	a.limiter.memory.sortLateLast(time.Now(), shuffled)
	waiting := shuffled
	if short {
		a.maxAsked = a.missing
	} else {
		waiting = a.charge(ctx, shuffled, 0)
	}
	if bounded && a.missing > 0 {
		waiting = a.charge(ctx, waiting, max(0, time.Until(a.until)))
	}
	if a.missing > 0 && a.ended == len(keepers) {
		waiting = a.chargeSubstitutes(ctx)
	}
	if a.missing > 0 && a.unanswered > 0 {
		a.awaitCredits(ctx)
	}
	if a.missing > 0 {
		a.refund()
		return a.refusal(waiting)
	}
	return nil
}

// chargeAll charges a piece at each keeper, until one refuses or does not answer.
func (a *attempt) chargeAll(ctx context.Context, keepers []Host) {
	a.delays = map[string]time.Duration{}
	for _, h := range keepers {
		before := a.missing
		a.charge(ctx, []Host{h}, max(0, time.Until(a.until)))
		if a.missing == before {
			return
		}
	}
}

// charge charges a piece at each keeper in turn until none is missing. It returns those that refused and will have
// the tokens some time, in the order of that time.
func (a *attempt) charge(ctx context.Context, keepers []Host, wait time.Duration) []Host {
	if a.delays == nil {
		a.delays = map[string]time.Duration{}
	}
	var refused []Host
	for _, h := range keepers {
		if a.missing == 0 || a.unanswered >= maxUnanswered || a.maxAsked > 0 && a.asked >= a.maxAsked {
			break
		}
		sentAt := time.Now()
		answer, ok := a.chargeAt(ctx, h, wait)
		switch {
		case !ok:
		case answer.Admitted:
			a.charged = append(a.charged, newCredit(h, a.piece, sentAt, time.Now(), a.lifetime, answer.Delay))
			a.missing--
		default:
			a.delays[h.Name] = answer.Delay
			refused = append(refused, h)
		}
	}
	slices.SortFunc(refused, func(x, y Host) int { return int(a.delays[x.Name] - a.delays[y.Name]) })
	return refused
}

// awaitCredits waits for the answers of late keepers.
func (a *attempt) awaitCredits(ctx context.Context) {
	// No question is answered later than that.
	end := time.NewTimer(a.lifetime)
	defer end.Stop()
	for a.missing > 0 {
		now := time.Now()
		taken, changed := a.limiter.creditAccounts.takeOrWait(now, later(a.until, now), a.workspace, int64(a.missing)*a.piece)
		if changed == nil {
			a.charged = append(a.charged, taken...)
			a.missing = 0
			return
		}
		select {
		case <-changed:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// chargeSubstitutes charges at the hosts that take the place of the keepers, and at this host itself if all keepers of
// all workspaces have ended. Hosts that all find them ended find the same substitute. It returns those that refused.
func (a *attempt) chargeSubstitutes(ctx context.Context) []Host {
	d := a.limiter.division.Load()
	wait := max(0, time.Until(a.until))
	substitutes := d.substitutes(a.workspace)
	a.ended, a.substituteOf = 0, parts
	refused := a.charge(ctx, substitutes, wait)
	if a.missing > 0 && a.ended == len(substitutes) {
		a.substituteOf = maxKeepers
		refused = append(refused, a.charge(ctx, []Host{{Name: a.limiter.host}}, wait)...)
	}
	return refused
}

// chargeAt charges a piece at one keeper. It reports false if the keeper gave no answer, or keeps no bucket.
func (a *attempt) chargeAt(ctx context.Context, h Host, wait time.Duration) (masticcall.ChargeAnswer, bool) {
	l, now := a.limiter, time.Now()
	c := masticcall.Charge{Workspace: a.workspace, Tokens: a.piece, Wait: wait, SubstituteOf: a.substituteOf}
	if delay, known := l.memory.refusal(now, h, c); known {
		return masticcall.ChargeAnswer{Delay: delay}, true
	}
	if h.Name == l.host {
		a.asked++
		answer := l.keeper.Charge(now, c)
		if answer.Kept && !answer.Admitted && c.SubstituteOf == 0 {
			l.memory.recordRefusal(now, h, c, answer.Delay)
		}
		return answer, answer.Kept
	}
	if l.memory.isSilent(now, h) {
		return masticcall.ChargeAnswer{}, false
	}
	if wait == 0 && a.substituteOf == 0 {
		c.Extra = a.extra
	}
	a.asked++
	f := &flight{limiter: l, keeper: h, charge: c, lifetime: a.lifetime, sentAt: now, answered: make(chan struct{})}
	go f.run()
	return a.await(ctx, f)
}

// await waits for the answer to a charge until chargeTimeout. A later one becomes a credit.
func (a *attempt) await(ctx context.Context, f *flight) (masticcall.ChargeAnswer, bool) {
	timer := time.NewTimer(chargeTimeout)
	defer timer.Stop()
	select {
	case <-f.answered:
	case <-timer.C:
		if !f.abandon() {
			a.limiter.memory.recordLate(time.Now(), f.keeper)
			a.unanswered++
			return masticcall.ChargeAnswer{}, false
		}
	case <-ctx.Done():
		if !f.abandon() {
			a.unanswered++
			return masticcall.ChargeAnswer{}, false
		}
	}
	if errors.Is(f.err, syscall.ECONNREFUSED) {
		a.ended++
	}
	return f.answer, f.err == nil && f.answer.Kept
}

// refund returns what was charged.
func (a *attempt) refund() {
	for _, c := range a.charged {
		a.limiter.refund(c.keeper, a.workspace, c.tokens)
	}
}

// refusal returns the error for a request that was not admitted, with the time at which enough keepers have the
// tokens.
func (a *attempt) refusal(waiting []Host) error {
	if len(waiting) == 0 || a.maxAsked == 0 && len(waiting) < a.missing {
		return errFewKeepers(a.workspace)
	}
	return a.overRate(a.delays[waiting[min(a.missing, len(waiting))-1].Name])
}

// overRate returns the refusal of a request whose tokens are there after the given time.
func (a *attempt) overRate(delay time.Duration) error {
	now := time.Now()
	a.limiter.throttles.record(now, a.throttle, false)
	e := masticerror.New(masticerror.KindRateLimited, "workspace %q is over its rate", a.workspace)
	return e.WithRetryAfter(a.limiter.throttles.returnDelay(now, a.throttle, delay))
}

// admission waits until the charged tokens are there.
func (a *attempt) admission(ctx context.Context, tokens int64) (masticcall.Admission, error) {
	now, usableAt := time.Now(), time.Time{}
	for _, c := range a.charged {
		if c.usableAt.After(usableAt) {
			usableAt = c.usableAt
		}
	}
	if delay := usableAt.Sub(now); delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			a.refund()
			return nil, masticerror.Wrap(ctx.Err(), masticerror.KindRateLimited, "workspace %q is over its rate", a.workspace).WithRetryAfter(delay)
		}
	}
	now = time.Now()
	// The keepers' burst is lower only by what the workspace regains in the lifetime of charged tokens.
	if slices.ContainsFunc(a.charged, func(c credit) bool { return !now.Before(c.expiresAt) }) {
		a.refund()
		return nil, a.overRate(0)
	}
	a.limiter.throttles.record(now, a.throttle, true)
	return &admission{limiter: a.limiter, workspace: a.workspace, tokens: tokens, charged: a.charged}, nil
}

// admission is a request that was charged.
type admission struct {
	limiter   *Limiter
	workspace string
	tokens    int64
	charged   []credit
}

// Settle returns unused tokens to the keepers.
func (a *admission) Settle(usedTokens int64) {
	unused := max(0, a.tokens-usedTokens)
	for _, c := range a.charged {
		if n := min(c.tokens, unused); n > 0 {
			a.limiter.refund(c.keeper, a.workspace, n)
			unused -= n
		}
	}
}
