package masticschedule

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// serviceWork is a call of a plain service that runs.
type serviceWork struct {
	slot masticcache.Slot
}

// SubmitService takes a call of a plain service; its outcome is ready at once.
func (s *Scheduler) SubmitService(now time.Time, t Ticket, service masticview.Service, avoid []string) {
	slot, ok := s.router.DecideService(now, service.Servers, avoid)
	if !ok {
		s.fail(t, masticerror.New(masticerror.KindNoServer, "no usable backend server for service %q", service.Name))
		return
	}
	s.router.ServiceStart(now, slot)
	s.services[t] = serviceWork{slot}
	s.outcomes = append(s.outcomes, Outcome{Ticket: t, Server: s.router.Server(slot)})
}
