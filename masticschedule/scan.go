package masticschedule

import (
	"time"

	"masticladder/masticfair"
	"masticladder/masticroute"
)

type item = masticfair.Item[*waiting]

// scan starts the queued requests whose chosen backend server has capacity, in the order of
// the queue.
func (s *Scheduler) scan(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	s.refuseExpired(now)
	s.refuseUnservable()
	// Requests that wait for an engine to read their prefix must not keep others from being evaluated.
	s.queue.Scan(now, scanLimit+s.held(now), func(i item) bool { return s.tryStart(now, i.Value) })
}

// held returns the number of requests that wait for an engine to read their prefix and need no evaluation.
func (s *Scheduler) held(now time.Time) int {
	n, readings := 0, s.router.FinishedReadings()
	s.queue.RemoveFunc(func(i item) bool {
		if i.Value.hold.unchanged(now, readings) {
			n++
		}
		return false
	})
	return n
}

// tryStart starts w if the best backend server for it has capacity, and refuses it if what
// they state allows none. It reports whether w has an outcome.
func (s *Scheduler) tryStart(now time.Time, w *waiting) bool {
	readings := s.router.FinishedReadings()
	if w.hold.unchanged(now, readings) {
		return false
	}
	w.query.Suspect = s.suspects[w.request.Digest]
	w.query.Discount = max(0, 1-s.usage.ShareRatio(now, w.request.Workspace))
	w.query.Waited = now.Sub(w.queuedAt)
	s.announced.setQueryVersions(now, w)
	d, ok := s.router.Decide(now, &w.query)
	w.evaluated(&d, ok)
	if err := s.withheldError(now, w); err != nil {
		s.fail(w.ticket, err)
		return true
	}
	w.hold.set(now, &d, readings)
	if !ok || !d.Admit {
		return false
	}
	s.start(now, w, &d)
	return true
}

func (s *Scheduler) start(now time.Time, w *waiting, d *masticroute.Decision) {
	s.usage.Add(now, w.request.Workspace, w.request.Weight, max(1, d.Uncached()))
	s.running[w.ticket] = &running{work: s.router.Start(now, &w.query, d)}
	s.outcomes = append(s.outcomes, Outcome{
		Ticket: w.ticket, Decision: *d, Server: s.router.Server(d.Slot),
		Names: s.candidateNames(d), Queued: now.Sub(w.queuedAt), Held: w.hold.duration(now),
	})
}

func (s *Scheduler) candidateNames(d *masticroute.Decision) []string {
	var out []string
	for _, c := range d.Evaluated() {
		out = append(out, s.router.Server(c.Slot).Name)
	}
	return out
}
