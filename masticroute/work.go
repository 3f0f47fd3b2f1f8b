package masticroute

import (
	"time"

	"masticladder/masticview"
)

const (
	// shareGain is the weight of one request in the means of the work sent.
	shareGain = 0.01
	// speedsGain is the weight of one measurement in the mean of all speeds.
	speedsGain = 0.02
)

// Start records that the request of q was sent by decision d.
func (r *Router) Start(now time.Time, q *Query, d *Decision) Work {
	w := Work{
		Slot: d.Slot, Epoch: r.beliefs.Epoch(d.Slot), Class: q.Class,
		Uncached: max(0, float64(d.Tokens)-d.Cached), Ahead: d.Ahead, Tokens: d.Tokens, Trial: d.Trial,
		Pieces: d.Pieces, Suspect: q.Suspect, StartedAt: now, Save: d.Save, Fetch: d.Fetch, Predicted: d.Predicted(),
	}
	s := r.servers[w.Slot]
	s.load.add(now, &w)
	if w.Suspect {
		s.suspects++
	}
	r.learnShare(w)
	r.touch(now, w.Slot, w.Epoch, w.Pieces)
	return w
}

func (w *Work) urgent() bool { return w.Class == masticview.ClassQuick }

// learnShare learns which share of the requests and of the work is of the quick class.
func (r *Router) learnShare(w Work) {
	urgent, quick := 0.0, 0.0
	if w.urgent() {
		urgent, quick = w.Uncached, 1
	}
	r.quickShare += shareGain * (quick - r.quickShare)
	r.urgentMean += shareGain * (urgent - r.urgentMean)
	r.workMean += shareGain * (w.Uncached - r.workMean)
}

// urgentShare returns the share of the work sent that is of the quick class, 0 to 1.
func (r *Router) urgentShare() float64 {
	if r.workMean <= 0 {
		return 0
	}
	return min(1, r.urgentMean/r.workMean)
}

// FirstToken records that w got its first token.
func (r *Router) FirstToken(now time.Time, w *Work) {
	if !w.FirstTokenAt.IsZero() {
		return
	}
	w.FirstTokenAt = now
	s := r.servers[w.Slot]
	s.load.firstToken(now, w)
	r.observeStore(now, w)
	if slot, ok := r.slots[w.Save]; ok && w.Save != "" {
		r.touch(now, slot, r.beliefs.Epoch(slot), w.Pieces)
	}
}

// End is how work ended.
type End struct {
	// Failed reports that the backend server did not answer properly.
	Failed bool
	// Partial reports that the request did not end by itself, so that its counts mean nothing.
	Partial bool
	// ServerEnded reports that the connection broke as if the backend server had ended.
	ServerEnded  bool
	Incarnation  string
	CachedTokens int64
	// CachedUnknown reports that the answer did not tell how many tokens were cached.
	CachedUnknown bool
}

// Done records that w has ended.
func (r *Router) Done(now time.Time, w *Work, e End) {
	s := r.servers[w.Slot]
	if w.FirstTokenAt.IsZero() {
		s.load.firstToken(now, w)
	}
	s.load.done(now, w)
	if w.Suspect {
		s.suspects--
	}
	current := r.Incarnate(w.Slot, e.Incarnation)
	if e.ServerEnded && r.beliefs.Epoch(w.Slot) == w.Epoch {
		r.beliefs.Reset(w.Slot)
	}
	r.judge(now, s, e)
	if current && !e.Partial {
		r.learn(now, s, w, e)
	}
}

// judge moves the health of s by how work ended.
func (r *Router) judge(now time.Time, s *server, e End) {
	switch {
	case e.ServerEnded:
		s.health.Break(now)
		r.noteEnded(s)
	case e.Failed:
		if s.failing(1) || !r.shared {
			s.health.Fail(now)
		}
	case !e.Partial:
		s.failing(0)
		s.health.Succeed(now)
		s.hearsay = hearsay{provenAt: now}
	}
}

const (
	// failureGain is the weight of one answer in the share of failures.
	failureGain = 0.15
	// greyShare is the share of failures above which a backend server is failing: services
	// fail up to 14 in 100 calls on calm days, a grey server 40 in 100.
	greyShare = 0.35
)

// failing counts an answer, 1 for a failure, and reports whether failures are frequent.
func (s *server) failing(failed float64) bool {
	s.failures += failureGain * (failed - s.failures)
	return s.failures > greyShare
}

func (r *Router) learn(now time.Time, s *server, w *Work, e End) {
	if e.CachedUnknown {
		e.CachedTokens = w.Tokens - int64(w.Uncached)
		w.Trial.Tokens = 0
	}
	if !w.FirstTokenAt.IsZero() {
		s.measureHold(now.Sub(w.FirstTokenAt))
		s.load.measure(float64(w.Tokens-e.CachedTokens), w.FirstTokenAt.Sub(w.StartedAt), w.Ahead == 0)
		r.learnSpeeds(s.load.speed)
	}
	r.beliefs.Observe(w.Slot, w.Epoch, w.Trial, e.CachedTokens)
}

// learnSpeeds moves the mean of all speeds, which stands in for an unknown one. It is the plain
// mean of the first measurements: a host of a large fleet measures two a second, and with the
// gain alone it took an engine for six times too slow through the first half minute.
func (r *Router) learnSpeeds(speed float64) {
	if speed <= 0 {
		return
	}
	r.speedsSeen++
	r.speeds += max(speedsGain, 1/float64(r.speedsSeen)) * (speed - r.speeds)
}
