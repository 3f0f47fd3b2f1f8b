package masticroute

import (
	"time"

	"masticladder/masticview"
)

const (
	// requestGain is the weight of one request in the moving means over the requests sent.
	requestGain = 0.01
	// meanSpeedGain is the least weight of one value in the mean of all speeds.
	meanSpeedGain = 0.02
)

// Start records that the request of q was sent as decided in d.
func (r *Router) Start(now time.Time, q *Query, d *Decision) Work {
	w := Work{
		Slot: d.Slot, Epoch: r.cacheIndex.Epoch(d.Slot), Class: q.Class,
		Uncached: max(0, float64(d.Tokens)-d.Cached), Ahead: d.Ahead, Tokens: d.Tokens, Held: d.Held, Trial: d.Trial,
		Pieces: d.Pieces, Suspect: q.Suspect, StartedAt: now, Save: d.Save, Fetch: d.Fetch, Predicted: d.Predicted(),
	}
	s := r.servers[w.Slot]
	s.load.add(now, &w)
	if !q.OtherHost {
		r.limits.Spend(s.info.Name)
	}
	if w.Suspect {
		s.suspects++
	}
	r.updateWorkShares(w)
	r.beginReading(now, &w, d.FetchTokens)
	return w
}

func (w *Work) isQuick() bool { return w.Class == masticview.ClassQuick }

// updateWorkShares updates the shares of the quick class in the requests and in the work.
func (r *Router) updateWorkShares(w Work) {
	quickWork, quickCount := 0.0, 0.0
	if w.isQuick() {
		quickWork, quickCount = w.Uncached, 1
	}
	r.quickRequestShare += requestGain * (quickCount - r.quickRequestShare)
	r.meanQuickWork += requestGain * (quickWork - r.meanQuickWork)
	r.meanWork += requestGain * (w.Uncached - r.meanWork)
}

// quickWorkShare returns the share of the quick class in the work sent, 0 to 1.
func (r *Router) quickWorkShare() float64 {
	if r.meanWork <= 0 {
		return 0
	}
	return min(1, r.meanQuickWork/r.meanWork)
}

// FirstToken records that w got its first token; later calls do nothing.
func (r *Router) FirstToken(now time.Time, w *Work) {
	if !w.FirstTokenAt.IsZero() {
		return
	}
	w.FirstTokenAt = now
	s := r.servers[w.Slot]
	s.load.firstToken(now, w)
	r.observeStore(now, w)
	r.finishReading(now, w)
	if slot, ok := r.slots[w.Save]; ok && w.Save != "" && r.saveStarted(now, slot, w.Pieces) {
		r.addTouch(Touch{Server: w.Save, Pieces: w.Pieces, ExpectedIn: saveDelay})
	}
}

// End is the outcome of a request or call.
type End struct {
	// Failed reports that the backend server did not answer properly.
	Failed bool
	// Partial reports that the request was stopped before its own end, so that its counts mean
	// nothing.
	Partial bool
	// Paused reports that the backend server turned the request away and stated until when it wants no
	// further ones.
	Paused bool
	// Rejected reports that the backend server stated that it has not run the request, without a pause: it is full, executes
	// an order, or has a fault.
	Rejected bool
	// prompt reports that a success came as soon as from a server with room; it is set by Done and ServiceDone.
	prompt bool
	// ServerEnded reports that the connection broke as if the backend server had terminated.
	ServerEnded  bool
	Incarnation  string
	CachedTokens int64
	// CachedUnknown reports that the answer did not contain the number of cached tokens.
	CachedUnknown bool
}

// Done records that w has ended.
func (r *Router) Done(now time.Time, w *Work, e End) {
	s := r.servers[w.Slot]
	if w.FirstTokenAt.IsZero() {
		s.load.firstToken(now, w)
		if e.Failed || e.Partial {
			r.abandonReading(now, w)
		}
	}
	s.load.done(now, w)
	if w.Suspect {
		s.suspects--
	}
	current := r.ObserveIncarnation(w.Slot, e.Incarnation)
	if e.ServerEnded && r.cacheIndex.Epoch(w.Slot) == w.Epoch {
		r.cacheIndex.Reset(w.Slot)
	}
	e.prompt = r.wasPrompt(w)
	r.updateHealth(now, s, e)
	if current && !e.Partial {
		r.updateEstimates(now, s, w, e)
	}
}

// updateHealth updates the health of s by the outcome of a request.
func (r *Router) updateHealth(now time.Time, s *server, e End) {
	switch {
	case e.ServerEnded:
		s.health.RecordConnectionFailure(now)
		r.recordTerminated(s)
	case e.Paused:
	case e.Rejected:
		s.rejections = s.rejections.WithRejection(now)
	case e.Failed:
		if s.updateFailureRate(1) || !r.shared {
			s.health.RecordFailedAnswer(now)
		}
	case !e.Partial:
		rejected := s.rejections.counted
		s.rejections = s.rejections.WithAnswer(now)
		if rejected > 0 && e.prompt && !r.othersReject(now, s) && s.addRejections(rejected) {
			s.health.RecordFailedAnswer(now)
			s.updateFailureRate(0)
			return
		}
		s.updateFailureRate(0)
		s.health.RecordSuccess(now)
		s.peerFailures = peerFailures{answeredAt: now}
	}
}

const (
	// failureRateGain is the weight of one answer in the failure rate.
	failureRateGain = 0.15
	// grayFailureRate is the failure rate above which a backend server is failing: services fail
	// up to 14 in 100 calls on normal days, a server with a gray failure 40 in 100.
	grayFailureRate = 0.35
)

// updateFailureRate adds an answer, 1 for a failure and 0 for a success, and reports whether the
// failure rate is above grayFailureRate.
func (s *server) updateFailureRate(failed float64) bool {
	s.failureRate += failureRateGain * (failed - s.failureRate)
	return s.failureRate > grayFailureRate
}

func (r *Router) updateEstimates(now time.Time, s *server, w *Work, e End) {
	if e.CachedUnknown {
		e.CachedTokens = w.Tokens - int64(w.Uncached)
		w.Trial.Tokens = 0
	}
	if !w.FirstTokenAt.IsZero() {
		s.updateDecodeTime(now.Sub(w.FirstTokenAt))
		s.load.updateSpeed(float64(w.Tokens-e.CachedTokens), w.FirstTokenAt.Sub(w.StartedAt), w.Ahead == 0)
		r.updateMeanSpeed(s.load.speed)
	}
	r.cacheIndex.Observe(w.Slot, w.Epoch, w.Trial, e.CachedTokens)
}

// updateMeanSpeed adds a speed to the mean of all speeds, which stands in for an unknown one. The
// speed is the smoothed one of a backend server after a request, also when updateSpeed discarded
// that request's sample (under 2,000 tokens); or another host's, while this host has none for that
// server. The first values have equal weights, so that they replace the default speed quickly: a
// host of a large fleet measures two a second, and with meanSpeedGain alone it assumed engines
// to be six times too slow during the first half minute.
func (r *Router) updateMeanSpeed(speed float64) {
	if speed <= 0 {
		return
	}
	r.speedSamples++
	r.meanSpeed += max(meanSpeedGain, 1/float64(r.speedSamples)) * (speed - r.meanSpeed)
}
