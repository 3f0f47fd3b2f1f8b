package masticroute

import (
	"time"

	"masticladder/mastichealth"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// windowSpan is the wait on a backend server above which it gets no more work from
	// the queue: whatever waits longer waits where it can still be reordered.
	windowSpan = 150 * time.Millisecond
	// maxExtraRunning is how many requests beyond its slots a backend server may hold.
	maxExtraRunning = 1
	// startHold is the time that a request is assumed to hold a slot before any is measured.
	startHold = time.Second
	// holdGain is the weight of a new measurement of the hold time.
	holdGain = 0.1
)

// server is what a router knows of one backend server.
type server struct {
	info    masticview.Server
	load    load
	health  mastichealth.Server
	hearsay hearsay
	// active reports that the view lets the backend server get new work.
	active bool
	// failures is the moving share of failures in the answers.
	failures float64
	// suspects counts the own running requests that may end a backend server.
	suspects int
	// memory is the engine's room in tokens, zero where it is not known.
	memory float64
	// hold is the measured time from first token to end.
	hold time.Duration
}

// usable reports whether the backend server may get one more request at now.
func (s *server) usable(now time.Time) bool {
	if !s.active || !s.health.Usable(now) || now.Before(s.hearsay.shunnedUntil) {
		return false
	}
	return !s.health.Probing() || s.load.running == 0
}

// speed returns the measured prefill speed or the given one, in tokens per second.
func (s *server) speed(now time.Time, unknown float64) float64 {
	v := s.load.speed
	if v == 0 {
		v = s.load.drain.speed(unknown)
	}
	return s.load.bound(now, v) * max(s.health.Share(now), 0.01)
}

// wait returns the predicted time until the backend server starts on one more request.
func (s *server) wait(now time.Time, class masticview.Class, speed, urgentShare float64) time.Duration {
	others := s.load.othersNow(now)
	work := s.load.own + others
	if class == masticview.ClassQuick {
		// An engine puts the quick class first, after the piece that it is computing.
		work = min(work, masticprompt.PieceTokens)/2 + s.load.ownUrgent + others*urgentShare
	}
	return seconds(work/speed) + s.slotWait()
}

// slotWait returns the predicted time until a decode slot is free.
func (s *server) slotWait() time.Duration {
	slots := s.load.report.Slots
	if slots == 0 {
		return 0
	}
	excess := int64(s.load.running) + s.load.othersRunning - slots + 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess) * s.holdTime() / time.Duration(slots)
}

func (s *server) holdTime() time.Duration {
	if s.hold == 0 {
		return startHold
	}
	return s.hold
}

func (s *server) measureHold(d time.Duration) {
	if s.hold == 0 {
		s.hold = d
		return
	}
	s.hold += time.Duration(holdGain * float64(d-s.hold))
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
