package masticschedule

import (
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticroute"
)

// admissionError returns why a request cannot run at all, or nil. It also updates the retry budget
// of the workspace, once an attempt: the first one adds to it, a later one takes a retry from it.
func (s *Scheduler) admissionError(now time.Time, r masticcall.Request) *masticerror.Error {
	if q, ok := s.view.Quarantine(r.Digest); ok && now.Before(q.Until) {
		return masticerror.New(masticerror.KindQuarantined, "content is quarantined").WithRetryAfter(q.Until.Sub(now))
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return masticerror.New(masticerror.KindDeadline, "deadline passed before dispatch")
	}
	if !s.router.Serves(r.Model) {
		return masticerror.New(masticerror.KindNoServer, "no active backend server has model %q", r.Model).WithRetryAfter(s.router.NoServerDelay())
	}
	if r.Reacquired {
		return nil
	}
	if r.Attempt == 0 {
		s.budget.RecordFirstAttempt(r.Workspace)
		return nil
	}
	if !s.budget.TakeRetry(r.Workspace) {
		return masticerror.New(masticerror.KindRetryBudget, "retry budget of workspace %q is spent", r.Workspace)
	}
	return nil
}

// overloadError returns why a request is shed, to be retried later, or nil. A request within
// its rate is served late rather than refused, so apart from a full queue only a request that
// cannot meet its deadline is shed.
func (s *Scheduler) overloadError(now time.Time, w *waiting, d *masticroute.Decision) *masticerror.Error {
	r := w.request
	if s.queue.Len() >= maxQueued {
		return masticerror.New(masticerror.KindOverloaded, "the queue of this host is full").WithRetryAfter(s.returnDelay(now, &r, 0))
	}
	wait := s.router.DrainTime(r.Model, s.queue.TokensAhead(queueOwner(&r), r.Weight, headStartTokens(r.Class)))
	if w.noUsableServer {
		return nil
	}
	due := now.Add(wait + d.Predicted())
	if !r.Deadline.IsZero() && due.After(r.Deadline) {
		return s.tooLateError(now, &r, due.Sub(r.Deadline))
	}
	return nil
}

func (s *Scheduler) tooLateError(now time.Time, r *masticcall.Request, late time.Duration) *masticerror.Error {
	return masticerror.New(masticerror.KindOverloaded, "the first token would come after the deadline").
		WithRetryAfter(s.returnDelay(now, r, late))
}

const (
	// minReturnDelay is the least time after which a request returns that was refused because of the load.
	minReturnDelay = 300 * time.Millisecond
	// returnDivisor divides the remaining time of a request; callers wait for a third of theirs at most, and the refusal takes
	// some time to reach them.
	returnDivisor = 3.3
)

// returnDelay returns the time after which a request refused because of the load comes back, at the earliest once the load that makes it
// late is served. Returns are spread over the time in which the queue is served, within the time that the caller waits.
func (s *Scheduler) returnDelay(now time.Time, r *masticcall.Request, late time.Duration) time.Duration {
	base := max(late, minReturnDelay)
	span := max(base, s.router.DrainTime(r.Model, s.queue.Tokens()))
	if limit := time.Duration(float64(r.Deadline.Sub(now)) / returnDivisor); !r.Deadline.IsZero() && limit > base {
		span = min(span, limit-base)
	}
	return base + s.router.Spread(span)
}

func noServerError(model string) *masticerror.Error {
	return masticerror.New(masticerror.KindNoServer, "no usable backend server for model %q", model)
}

// withheldError returns the refusal of a request that no engine can take because of what they state about
// themselves, or nil. Such a request is not queued: waiting would not help it.
func (s *Scheduler) withheldError(now time.Time, w *waiting) *masticerror.Error {
	if !w.noUsableServer {
		return nil
	}
	if w.request.Shard > 0 {
		// Another shard may have a server.
		return noServerError(w.request.Model)
	}
	delay, withheld := s.router.WithheldEngines(now, &w.query)
	if !withheld {
		return nil
	}
	return withheldPoolError(w.request.Model).WithRetryAfter(delay)
}

func withheldPoolError(pool string) *masticerror.Error {
	return masticerror.New(masticerror.KindOverloaded, "all backend servers of %q state that they take no more requests now", pool)
}

// refuseExpired refuses queued requests that can no longer be served by their deadline. While no backend server is
// usable, it also refuses those whose ServerWaitDeadline, or else FirstTokenDeadline, has passed.
func (s *Scheduler) refuseExpired(now time.Time) {
	for _, i := range s.queue.RemoveFunc(func(i item) bool { return i.Value.expired(now) }) {
		w := i.Value
		if w.noUsableServer {
			s.fail(w.ticket, noServerError(w.request.Model).WithRetryAfter(s.router.NoServerDelay()))
			continue
		}
		if now.Before(w.request.Deadline) {
			s.fail(w.ticket, s.tooLateError(now, &w.request, 0))
			continue
		}
		s.fail(w.ticket, masticerror.New(masticerror.KindDeadline, "deadline passed in the queue"))
	}
}

func (w *waiting) expired(now time.Time) bool {
	r := w.request
	if !w.serveBy.IsZero() && !now.Before(w.serveBy) {
		return true
	}
	serverWaitDeadline := r.ServerWaitDeadline
	if serverWaitDeadline.IsZero() {
		serverWaitDeadline = r.FirstTokenDeadline
	}
	return w.noUsableServer && !now.Before(serverWaitDeadline)
}

// refuseUnservable refuses queued requests for models that no active backend server has.
func (s *Scheduler) refuseUnservable() {
	for _, i := range s.queue.RemoveFunc(func(i item) bool { return !s.router.Serves(i.Value.request.Model) }) {
		s.fail(i.Value.ticket, masticerror.New(masticerror.KindNoServer, "no active backend server has the model any more").WithRetryAfter(s.router.NoServerDelay()))
	}
}
