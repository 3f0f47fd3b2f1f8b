package masticdrain

import (
	"context"
	"errors"
	"sync"
	"time"

	"masticladder/masticerror"
)

// errEnding is the cause of a context that a plan has ended, and the refusal of a request that has not run.
var errEnding = masticerror.New(masticerror.KindDraining, "this host ends before the request's deadline")

// Repeat says whether a request may be sent again after it may have run.
type Repeat bool

// The two values of Repeat.
const (
	Once       Repeat = false
	Repeatable Repeat = true
)

// Plan is the planned end of a host. Requests that might not be complete by then are refused: those that may not be
// repeated from Leave on, all others from RefuseBeyondEnd on. The zero value is ready to use. It is safe for
// concurrent use.
type Plan struct {
	mutex sync.Mutex
	// endsAt is zero until Leave.
	endsAt    time.Time
	refuseAll bool
	ended     bool
	timer     *time.Timer
	scopes    map[*Scope]struct{}
}

// Scope is a part of a request that the plan can end.
type Scope struct {
	plan     *Plan
	deadline time.Time
	repeat   Repeat
	// sent reports that a server may have run the request, so that it goes on until the end of the host.
	sent bool
	// ended reports that the plan has ended the scope.
	ended  bool
	cancel context.CancelCauseFunc
}

// Leave sets the end of the host.
func (p *Plan) Leave(endsAt time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.setEnd(endsAt)
}

// EndBy sets the end of the host, unless an earlier one is set, and makes the plan refuse all requests whose deadline is
// after it.
func (p *Plan) EndBy(endsAt time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refuseAll = true
	if !p.endsAt.IsZero() && p.endsAt.Before(endsAt) {
		endsAt = p.endsAt
	}
	p.setEnd(endsAt)
}

func (p *Plan) setEnd(endsAt time.Time) {
	p.endsAt = endsAt
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = time.AfterFunc(time.Until(endsAt), p.end)
	p.endScopes()
}

// RefuseBeyondEnd makes the plan refuse all requests whose deadline is after the end. It has no effect before Leave.
func (p *Plan) RefuseBeyondEnd() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refuseAll = true
	p.endScopes()
}

// end ends all scopes that are left when the host ends.
func (p *Plan) end() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if time.Now().Before(p.endsAt) {
		// Another Leave has replaced the timer.
		return
	}
	p.ended = true
	p.endScopes()
}

func (p *Plan) endScopes() {
	for s := range p.scopes {
		if p.ends(s) {
			s.endByPlan()
			delete(p.scopes, s)
		}
	}
}

func (p *Plan) ends(s *Scope) bool {
	return p.ended || !s.sent && p.refuses(s.deadline, s.repeat)
}

func (p *Plan) refuses(deadline time.Time, repeat Repeat) bool {
	return !p.endsAt.IsZero() && deadline.After(p.endsAt) && (p.refuseAll || repeat == Once)
}

// Refuses reports whether a request that has not run is refused because it might not be complete by the end.
func (p *Plan) Refuses(deadline time.Time, repeat Repeat) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.refuses(deadline, repeat)
}

// Leaving reports whether Leave was called.
func (p *Plan) Leaving() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.endsAt.IsZero()
}

// Waiting returns a context for what comes before a request that has not run is sent. It ends once the request would
// be refused. End must be called.
func (p *Plan) Waiting(ctx context.Context, deadline time.Time, repeat Repeat) (context.Context, *Scope) {
	return p.begin(ctx, &Scope{plan: p, deadline: deadline, repeat: repeat})
}

// Sent returns a context for a request that a server may have run. It ends with the host, while its caller can still
// be told. End must be called.
func (p *Plan) Sent(ctx context.Context) (context.Context, *Scope) {
	return p.begin(ctx, &Scope{plan: p, sent: true})
}

func (p *Plan) begin(ctx context.Context, s *Scope) (context.Context, *Scope) {
	ctx, s.cancel = context.WithCancelCause(ctx)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ends(s) {
		s.endByPlan()
		return ctx, s
	}
	if p.scopes == nil {
		p.scopes = map[*Scope]struct{}{}
	}
	p.scopes[s] = struct{}{}
	return ctx, s
}

func (s *Scope) endByPlan() {
	s.ended = true
	s.cancel(errEnding)
}

// Keep leaves the scope out of the plan: what has begun to reach the caller goes on until its connection is closed. It
// reports false if the plan has already ended the scope.
func (s *Scope) Keep() bool {
	s.plan.mutex.Lock()
	defer s.plan.mutex.Unlock()
	delete(s.plan.scopes, s)
	return !s.ended
}

// End ends the scope's context. Further calls have no effect.
func (s *Scope) End() {
	s.Keep()
	s.cancel(context.Canceled)
}

// Error returns the refusal of the request whose context a plan has ended, nil if none has. It states that the request
// has not run unless it is changed with WithSent.
func Error(ctx context.Context) *masticerror.Error {
	if errors.Is(context.Cause(ctx), errEnding) {
		return errEnding
	}
	return nil
}

// Refusal returns the refusal of a request that the plan refuses.
func Refusal() *masticerror.Error { return errEnding }
