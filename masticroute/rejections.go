package masticroute

import "time"

const (
	// firstFullTime is how long a backend server counts as full after a rejection. Each further rejection without an answer in
	// between doubles the time, up to maxFullTime: an overload ends within 2 s, and the server has to be found free then.
	firstFullTime = 50 * time.Millisecond
	maxFullTime   = 400 * time.Millisecond
	// fullQueueWait is the wait that is expected at a server that has rejected a request; it falls by the time that passes. In the
	// replay of an overloaded site without coordinators (masticschedule), 400 ms gave 4,000 rejections, 800 ms 2,600, and without a wait there were 6,300.
	fullQueueWait = 800 * time.Millisecond
	// maxCountedRejections is how many rejections in a row may count as failures. More of them show a server that is full or
	// executes an order; one with a fault rejects requests among others that it answers.
	maxCountedRejections = 2
	// rejectionWindow is the time in which rejections of other servers of a pool show that the pool is full, and
	// maxRejectingDivisor the part of them from which on it is.
	rejectionWindow     = 2 * time.Second
	maxRejectingDivisor = 3
	// promptAnswerDelay is the time beyond its prefill after which the first token of a request shows a wait at the engine. The
	// requests that leave a full queue waited for 200 ms and more.
	promptAnswerDelay = 60 * time.Millisecond
)

// rejections is what a backend server's rejections of requests that it has not run show. It is immutable.
type rejections struct {
	// fullUntil is the time until which the server counts as full.
	fullUntil time.Time
	// drainedAt is when its queue is expected to be empty.
	drainedAt time.Time
	// row is the number of rejections since the last answer, counted the part of it that may count as failures.
	row, counted int
	// rejectedAt and answeredAt are the times of the last rejection and of the last answer.
	rejectedAt, answeredAt time.Time
}

// WithRejection returns x after a rejection.
func (x rejections) WithRejection(now time.Time) rejections {
	x.fullUntil = now.Add(min(firstFullTime<<min(x.row, 10), maxFullTime))
	x.drainedAt = now.Add(fullQueueWait)
	x.row++
	x.counted = min(x.row, maxCountedRejections)
	x.rejectedAt = now
	return x
}

// WithAnswer returns x after a successful answer.
func (x rejections) WithAnswer(now time.Time) rejections {
	return rejections{rejectedAt: x.rejectedAt, answeredAt: now, drainedAt: x.drainedAt}
}

// isFull reports whether the server counts as full at now.
func (x rejections) isFull(now time.Time) bool { return now.Before(x.fullUntil) }

// wait returns the wait that the last rejection lets expect at the server.
func (x rejections) wait(now time.Time) time.Duration {
	return max(0, x.drainedAt.Sub(now))
}

// addRejections adds n rejections to the failure rate, and reports whether it is above grayFailureRate then.
func (s *server) addRejections(n int) bool {
	failing := false
	for range n {
		failing = s.updateFailureRate(1)
	}
	return failing
}

// othersReject reports whether so many other servers of the pool of s have rejected requests lately that the rejections of s show
// a full pool.
func (r *Router) othersReject(now time.Time, s *server) bool {
	used, rejecting := 0, 0
	for _, o := range r.servers {
		if o == s || !o.active || o.info.Kind != s.info.Kind || o.info.Service != s.info.Service {
			continue
		}
		rejected := isRecent(now, o.rejections.rejectedAt)
		if rejected {
			rejecting++
		}
		if rejected || isRecent(now, o.rejections.answeredAt) {
			used++
		}
	}
	return rejecting > 0 && rejecting*maxRejectingDivisor >= used
}

func isRecent(now, t time.Time) bool { return !t.IsZero() && now.Sub(t) <= rejectionWindow }

// wasPrompt reports whether the first token of w came as soon as from an engine without other work.
func (r *Router) wasPrompt(w *Work) bool {
	if w.FirstTokenAt.IsZero() {
		return false
	}
	speed := r.servers[w.Slot].load.speed
	if speed == 0 {
		speed = r.meanSpeed
	}
	return w.FirstTokenAt.Sub(w.StartedAt) <= seconds(2*w.Uncached/speed)+promptAnswerDelay
}
