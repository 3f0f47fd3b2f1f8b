package masticschedule

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// serviceCall is a running call of a plain service.
type serviceCall struct {
	slot masticcache.Slot
}

// SubmitService assigns a call of a plain service. It is never queued: its outcome is
// available from Outcomes immediately.
func (s *Scheduler) SubmitService(now time.Time, t Ticket, service masticview.Service, avoid []string) {
	slot, ok := s.router.DecideService(now, service.Servers, avoid)
	if !ok {
		if delay, withheld := s.router.WithheldService(now, service.Name, service.Servers, avoid); withheld {
			s.fail(t, withheldPoolError(service.Name).WithRetryAfter(delay))
			return
		}
		s.fail(t, masticerror.New(masticerror.KindNoServer, "no usable backend server for service %q", service.Name).WithRetryAfter(s.router.NoServerDelay()))
		return
	}
	s.router.ServiceStart(now, slot)
	s.serviceCalls[t] = serviceCall{slot}
	s.outcomes = append(s.outcomes, Outcome{Ticket: t, Server: s.router.Server(slot)})
}
