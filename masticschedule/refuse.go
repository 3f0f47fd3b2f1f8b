package masticschedule

import (
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticroute"
)

// refuse returns why a request cannot run at all, or nil.
func (s *Scheduler) refuse(now time.Time, r masticcall.Request) *masticerror.Error {
	if q, ok := s.view.Quarantine(r.Digest); ok && now.Before(q.Until) {
		return masticerror.New(masticerror.KindQuarantined, "content is quarantined").WithRetryAfter(q.Until.Sub(now))
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return masticerror.New(masticerror.KindDeadline, "deadline passed before dispatch")
	}
	if !s.router.Serves(r.Model) {
		return masticerror.New(masticerror.KindNoServer, "no active backend server has model %q", r.Model)
	}
	if r.Attempt == 0 {
		s.budget.First(r.Workspace)
		return nil
	}
	if !s.budget.Retry(r.Workspace) {
		return masticerror.New(masticerror.KindRetryBudget, "retry budget of workspace %q is spent", r.Workspace)
	}
	return nil
}

// shed returns why a request should come back later, or nil. A request within its rate
// is served late rather than refused, so only one that cannot end by its deadline is shed.
func (s *Scheduler) shed(now time.Time, w *waiting, d *masticroute.Decision) *masticerror.Error {
	if s.queue.Len() >= maxQueued {
		return masticerror.New(masticerror.KindOverloaded, "the queue of this host is full")
	}
	r := w.request
	wait := s.router.Drain(r.Model, s.queue.TokensAhead(r.Workspace, r.Weight, head(r.Class)))
	if w.unusable {
		return nil
	}
	due := now.Add(wait + d.Predicted())
	if !r.Deadline.IsZero() && due.After(r.Deadline) {
		return s.overloaded(due.Sub(r.Deadline))
	}
	return nil
}

func (s *Scheduler) overloaded(late time.Duration) *masticerror.Error {
	return masticerror.New(masticerror.KindOverloaded, "the first token would come after the deadline").
		WithRetryAfter(max(late, time.Second))
}

func noServer(model string) *masticerror.Error {
	return masticerror.New(masticerror.KindNoServer, "no usable backend server for model %q", model)
}

// expire refuses waiting requests whose deadline has passed, and those whose first token
// is due while no backend server is usable.
func (s *Scheduler) expire(now time.Time) {
	for _, i := range s.queue.RemoveFunc(func(i item) bool { return i.Value.expired(now) }) {
		w := i.Value
		if w.unusable {
			s.fail(w.ticket, noServer(w.request.Model))
			continue
		}
		s.fail(w.ticket, masticerror.New(masticerror.KindDeadline, "deadline passed in the queue"))
	}
}

func (w *waiting) expired(now time.Time) bool {
	r := w.request
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return true
	}
	usableBy := r.UsableBy
	if usableBy.IsZero() {
		usableBy = r.FirstTokenBy
	}
	return w.unusable && !now.Before(usableBy)
}

// unservable refuses waiting requests that no active backend server can run.
func (s *Scheduler) unservable() {
	for _, i := range s.queue.RemoveFunc(func(i item) bool { return !s.router.Serves(i.Value.request.Model) }) {
		s.fail(i.Value.ticket, masticerror.New(masticerror.KindNoServer, "no active backend server has the model any more"))
	}
}
