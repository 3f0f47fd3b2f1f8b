package masticroute

import (
	"time"

	"masticladder/mastichealth"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// maxServerWait is the wait at a backend server above which it gets no more work from the
	// queue: requests that wait longer wait in the queue, where they can still be reordered.
	maxServerWait = 150 * time.Millisecond
	// maxExtraRunning is how many requests beyond its slots a backend server may hold.
	maxExtraRunning = 1
	// defaultDecodeTime is the time that a request is assumed to hold a slot before any is
	// measured.
	defaultDecodeTime = time.Second
	// decodeTimeGain is the weight of a new measurement of the decode time.
	decodeTimeGain = 0.1
)

// server is the state of one backend server.
type server struct {
	info         masticview.Server
	load         load
	health       mastichealth.Server
	peerFailures peerFailures
	notice       Notice
	rejections   rejections
	// active reports that the view allows new work on the backend server.
	active bool
	// listed reports that the view has the backend server.
	listed bool
	// failureRate is the moving share of failed answers.
	failureRate float64
	// suspects counts this host's running requests that may crash a backend server.
	suspects int
	// memoryTokens is the engine's memory in tokens, zero if unknown.
	memoryTokens float64
	// meanDecodeTime is the moving mean of the time from the first token to the end.
	meanDecodeTime time.Duration
}

// usable reports whether the backend server may get one more request at now.
func (s *server) usable(now time.Time) bool {
	if !s.active || !s.health.Usable(now) || now.Before(s.peerFailures.cooldownUntil) {
		return false
	}
	return !s.health.HalfOpen() || s.load.running == 0
}

// speed returns the expected prefill speed in tokens per second: the measured one, or fallback
// if there is none, lowered for overdue requests and for limited health.
func (s *server) speed(now time.Time, fallback float64) float64 {
	v := s.load.speed
	if v == 0 {
		v = s.load.drainRate.speed(fallback)
	}
	return s.load.limitSpeed(now, v) * max(s.health.Share(now), 0.01)
}

// wait returns the predicted time until the backend server starts on one more request.
func (s *server) wait(now time.Time, class masticview.Class, speed, quickWorkShare float64) time.Duration {
	others := s.load.reportedOthersTokens(now)
	work := s.load.ownTokens + others
	if class == masticview.ClassQuick {
		// An engine schedules the quick class first, after the piece that it is computing.
		work = min(work, masticprompt.PieceTokens)/2 + s.load.ownQuickTokens + others*quickWorkShare
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
	return time.Duration(excess) * s.decodeTime() / time.Duration(slots)
}

func (s *server) decodeTime() time.Duration {
	if s.meanDecodeTime == 0 {
		return defaultDecodeTime
	}
	return s.meanDecodeTime
}

func (s *server) updateDecodeTime(d time.Duration) {
	if s.meanDecodeTime == 0 {
		s.meanDecodeTime = d
		return
	}
	s.meanDecodeTime += time.Duration(decodeTimeGain * float64(d-s.meanDecodeTime))
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
