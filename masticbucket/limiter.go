package masticbucket

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const (
	// chargeTimeout bounds one charge at a keeper. An answer normally takes a few milliseconds.
	chargeTimeout = 80 * time.Millisecond
	// unansweredRetryAfter is the Retry-After if too few keepers answer.
	unansweredRetryAfter = time.Second
)

// Limiter admits requests by charges at keepers. It implements masticcall.DividedLimiter.
type Limiter struct {
	host    string
	keeper  *Keeper
	keepers masticcall.Keepers
	log     logrus.FieldLogger

	division atomic.Pointer[Division]
	memory   *memory
	// shuffle reorders n items at random, as rand.Shuffle does.
	shuffle func(n int, swap func(i, j int))
}

// NewLimiter returns the limiter of the named host, which is a keeper itself where the division says so.
func NewLimiter(host string, k *Keeper, others masticcall.Keepers, log logrus.FieldLogger) *Limiter {
	return &Limiter{host: host, keeper: k, keepers: others, log: log, memory: newMemory(), shuffle: rand.Shuffle}
}

// SetView finds the keepers under a new view.
func (l *Limiter) SetView(v masticview.View) {
	d, former := NewDivision(v.Hosts()), l.division.Load()
	if d == nil && former == nil || d != nil && former != nil && slices.Equal(d.keepers, former.keepers) {
		return
	}
	now := time.Now()
	l.division.Store(d)
	l.keeper.SetDivision(now, d)
	l.memory.clear()
	names := []string{}
	if d != nil {
		for _, h := range d.keepers {
			names = append(names, h.Name)
		}
	}
	l.log.WithField("revision", v.Revision()).WithField("keepers", names).Info("keepers of quotas changed")
}

// Divided implements masticcall.DividedLimiter.
func (l *Limiter) Divided() bool { return l.division.Load() != nil }

// Admit charges the request's tokens at keepers. A request that is larger than the bucket of one is charged in
// equal pieces at several. It waits for tokens that are there before ctx ends.
func (l *Limiter) Admit(ctx context.Context, workspace string, tokens int64) (masticcall.Admission, error) {
	keepers := l.division.Load().Keepers(workspace)
	if len(keepers) == 0 {
		return nil, errFewKeepers(workspace)
	}
	limit := l.keeper.limit(workspace)
	pieces := piecesOf(tokens, limit, len(keepers))
	if pieces == 0 {
		return nil, masticerror.New(masticerror.KindRateLimited, "the request is larger than the burst of workspace %q", workspace)
	}
	a := &attempt{limiter: l, workspace: workspace, piece: (tokens + int64(pieces) - 1) / int64(pieces), missing: pieces}
	shuffled := slices.Clone(keepers)
	l.shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	waiting := a.charge(ctx, shuffled, 0)
	if deadline, bounded := ctx.Deadline(); bounded && a.missing > 0 {
		waiting = a.charge(ctx, waiting, time.Until(deadline))
	}
	if a.missing > 0 && a.ended == len(keepers) {
		waiting = a.chargeSubstitutes(ctx)
	}
	if a.missing > 0 {
		a.refund()
		return nil, a.refusal(waiting)
	}
	return a.admission(ctx, tokens)
}

// piecesOf returns at how many of n keepers a request is charged, zero if all their buckets together never hold it.
func piecesOf(tokens int64, limit Limit, n int) int {
	for pieces := 1; pieces <= n; pieces++ {
		if float64((tokens+int64(pieces)-1)/int64(pieces)) <= limit.divided(n).BurstTokens {
			return pieces
		}
	}
	return 0
}

// attempt is the attempt to charge one request.
type attempt struct {
	limiter   *Limiter
	workspace string
	// piece is the number of tokens to charge at each of as many keepers as missing says.
	piece   int64
	missing int
	charged []Host
	// ended counts the keepers whose process has ended: their hosts refuse connections.
	ended int
	// substituteOf is that of the charges.
	substituteOf int
	// delay is the time until all charged tokens are there.
	delay time.Duration
	// delays are those that keepers stated with their refusals.
	delays map[string]time.Duration
}

// charge charges a piece at each keeper in turn until none is missing. It returns those that refused and will have
// the tokens some time, in the order of that time.
func (a *attempt) charge(ctx context.Context, keepers []Host, wait time.Duration) []Host {
	if a.delays == nil {
		a.delays = map[string]time.Duration{}
	}
	var refused []Host
	for _, h := range keepers {
		if a.missing == 0 {
			break
		}
		answer, ok := a.chargeAt(ctx, h, wait)
		switch {
		case !ok:
		case answer.Admitted:
			a.charged = append(a.charged, h)
			a.delay = max(a.delay, answer.Delay)
			a.missing--
		default:
			a.delays[h.Name] = answer.Delay
			refused = append(refused, h)
		}
	}
	slices.SortFunc(refused, func(x, y Host) int { return int(a.delays[x.Name] - a.delays[y.Name]) })
	return refused
}

// chargeSubstitutes charges at the hosts that take the place of the keepers, and at this host itself if all keepers of
// all workspaces have ended. Hosts that all find them ended find the same substitute. It returns those that refused.
func (a *attempt) chargeSubstitutes(ctx context.Context) []Host {
	d := a.limiter.division.Load()
	wait := time.Duration(0)
	if deadline, bounded := ctx.Deadline(); bounded {
		wait = time.Until(deadline)
	}
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
	if delay, known := l.memory.refusal(now, h, a.workspace, a.piece); known && delay > wait {
		return masticcall.ChargeAnswer{Delay: delay}, true
	}
	c := masticcall.Charge{Workspace: a.workspace, Tokens: a.piece, Wait: wait, SubstituteOf: a.substituteOf}
	if h.Name == l.host {
		answer := l.keeper.Charge(now, c)
		return answer, answer.Kept
	}
	if l.memory.isSilent(now, h) {
		return masticcall.ChargeAnswer{}, false
	}
	asked, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	answer, err := l.keepers.Charge(asked, h.Peer, c)
	if err != nil {
		a.recordFailure(ctx, h, err)
		return answer, false
	}
	if answer.Kept && !answer.Admitted && a.substituteOf == 0 {
		l.memory.recordRefusal(time.Now(), h, a.workspace, a.piece, answer.Delay)
	}
	return answer, answer.Kept
}

// recordFailure records that a keeper gave no answer. One that has ended is asked again, since that costs little and it
// may be back soon.
func (a *attempt) recordFailure(ctx context.Context, h Host, err error) {
	l, ended := a.limiter, errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case ended:
		a.ended++
	case ctx.Err() == nil:
		l.memory.recordSilence(time.Now(), h)
	}
	if !ended || l.memory.isNews(time.Now(), h) {
		l.log.WithError(err).WithField("keeper", h.Name).WithField("workspace", a.workspace).WithField("ended", ended).Warn("keeper of a quota gave no answer")
	}
}

// refund returns what was charged.
func (a *attempt) refund() {
	for _, h := range a.charged {
		a.limiter.refund(h, a.workspace, a.piece)
	}
}

func (l *Limiter) refund(h Host, workspace string, tokens int64) {
	if h.Name == l.host {
		l.keeper.Refund(workspace, tokens)
		return
	}
	l.keepers.Refund(h.Peer, workspace, tokens)
}

func errFewKeepers(workspace string) error {
	e := masticerror.New(masticerror.KindRateLimited, "too few keepers of the quota of workspace %q answered", workspace)
	return e.WithRetryAfter(unansweredRetryAfter)
}

// refusal returns the error for a request that was not admitted, with the time at which enough keepers have the
// tokens.
func (a *attempt) refusal(waiting []Host) error {
	if len(waiting) < a.missing {
		return errFewKeepers(a.workspace)
	}
	e := masticerror.New(masticerror.KindRateLimited, "workspace %q is over its rate", a.workspace)
	return e.WithRetryAfter(a.delays[waiting[a.missing-1].Name])
}

// admission waits until the charged tokens are there.
func (a *attempt) admission(ctx context.Context, tokens int64) (masticcall.Admission, error) {
	if a.delay > 0 {
		t := time.NewTimer(a.delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			a.refund()
			return nil, masticerror.Wrap(ctx.Err(), masticerror.KindRateLimited, "workspace %q is over its rate", a.workspace).WithRetryAfter(a.delay)
		}
	}
	return &admission{limiter: a.limiter, workspace: a.workspace, piece: a.piece, tokens: tokens, keepers: a.charged}, nil
}

// admission is a request that was charged.
type admission struct {
	limiter   *Limiter
	workspace string
	piece     int64
	tokens    int64
	keepers   []Host
}

// Settle returns unused tokens to the keepers.
func (a *admission) Settle(usedTokens int64) {
	unused := max(0, a.tokens-usedTokens)
	for _, h := range a.keepers {
		if n := min(a.piece, unused); n > 0 {
			a.limiter.refund(h, a.workspace, n)
			unused -= n
		}
	}
}
