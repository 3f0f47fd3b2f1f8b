package masticbucket

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// flight is one charge at a keeper on another host. It goes on when its request waits no longer; tokens that are
// granted then are a credit of this host.
type flight struct {
	limiter *Limiter
	keeper  Host
	charge  masticcall.Charge
	// lifetime is how long after sentAt the tokens may be used.
	lifetime time.Duration
	sentAt   time.Time

	mutex sync.Mutex
	// abandoned reports that the request waits no longer.
	abandoned bool
	answer    masticcall.ChargeAnswer
	err       error
	answered  chan struct{}
}

func (f *flight) run() {
	ctx, cancel := context.WithTimeout(context.Background(), max(f.lifetime, maxCreditLifetime))
	defer cancel()
	answer, err := f.limiter.keepers.Charge(ctx, f.keeper.Peer, f.charge)
	f.finish(time.Now(), answer, err)
}

// finish records the answer. It becomes a credit if the request waits no longer.
func (f *flight) finish(now time.Time, answer masticcall.ChargeAnswer, err error) {
	l := f.limiter
	l.recordAnswer(now, f, answer, err)
	f.mutex.Lock()
	abandoned := f.abandoned
	f.answer, f.err = answer, err
	close(f.answered)
	f.mutex.Unlock()
	if answer.Extra > 0 {
		l.deposit(now, f.charge.Workspace, f.creditOf(now, answer, answer.Extra))
	}
	if abandoned && answer.Admitted {
		l.deposit(now, f.charge.Workspace, f.creditOf(now, answer, f.charge.Tokens))
	}
}

func (f *flight) creditOf(now time.Time, answer masticcall.ChargeAnswer, tokens int64) credit {
	return credit{keeper: f.keeper, tokens: tokens, usableAt: now.Add(answer.Delay), expiresAt: f.sentAt.Add(f.lifetime + answer.Delay)}
}

// abandon ends the request's interest. It reports true if the answer has come meanwhile, which is then the request's.
func (f *flight) abandon() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	select {
	case <-f.answered:
		return true
	default:
		f.abandoned = true
		return false
	}
}

// recordAnswer remembers what an answer says of the keeper. One that is late or has ended is asked again: a late
// one may still answer, and one that has ended costs little and may be back soon.
func (l *Limiter) recordAnswer(now time.Time, f *flight, answer masticcall.ChargeAnswer, err error) {
	c := f.charge
	if err == nil {
		switch {
		case answer.Admitted:
		case answer.Kept && c.SubstituteOf == 0:
			l.memory.recordRefusal(now, f.keeper, c, answer.Delay)
		}
		return
	}
	ended := errors.Is(err, syscall.ECONNREFUSED)
	late := masticerror.KindOf(err) == masticerror.KindOverloaded
	switch {
	case late:
		l.memory.recordLate(now, f.keeper)
	case !ended:
		l.memory.recordSilence(now, f.keeper)
	}
	if !ended && !late || l.memory.shouldLog(now, f.keeper) {
		l.log.WithError(err).WithField("keeper", f.keeper.Name).WithField("workspace", c.Workspace).
			WithField("ended", ended).WithField("late", late).Warn("keeper of a quota gave no answer")
	}
}

// deposit adds a credit, or returns it to its keeper if it is no longer usable.
func (l *Limiter) deposit(now time.Time, workspace string, c credit) {
	if !now.Before(c.expiresAt) {
		l.refund(c.keeper, workspace, c.tokens)
		return
	}
	l.creditAccounts.add(workspace, c)
	x := &expiry{limiter: l, workspace: workspace}
	time.AfterFunc(c.expiresAt.Sub(now), x.run)
}

// expiry returns the expired credits of a workspace to their keepers.
type expiry struct {
	limiter   *Limiter
	workspace string
}

func (x *expiry) run() {
	for _, c := range x.limiter.creditAccounts.expire(time.Now(), x.workspace) {
		x.limiter.refund(c.keeper, x.workspace, c.tokens)
	}
}
