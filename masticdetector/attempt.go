package masticdetector

import (
	"context"
	"time"

	"masticladder/masticcall"
	"masticladder/masticview"
)

// Attempt is one attempt to send a request to a backend server. One of Completed, Failed, Abandoned and
// End ends it; End does nothing after the others.
type Attempt struct {
	detector    *Detector
	server      masticview.Server
	incarnation string
	content     masticcall.Content
	sentAt      time.Time
}

// Begin begins an attempt to send a request with the given content to an incarnation of a server.
func (d *Detector) Begin(server masticview.Server, incarnation string, content masticcall.Content) *Attempt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a := &Attempt{detector: d, server: server, incarnation: incarnation, content: content, sentAt: d.now()}
	d.attempts.add(a)
	return a
}

// SetIncarnation sets the incarnation that runs the request, when the server has stated it.
func (a *Attempt) SetIncarnation(incarnation string) {
	a.detector.mutex.Lock()
	defer a.detector.mutex.Unlock()
	a.incarnation = incarnation
}

// Answered records that the server has begun to answer properly.
func (a *Attempt) Answered() {
	seenAt := a.detector.now().Add(-answerDelay)
	if a.sentAt.After(seenAt) {
		seenAt = a.sentAt
	}
	a.detector.observe(a, seenAt, SignAnswered)
}

// Completed records that the server has answered the request to its end. Requests with this content are
// not blamed for ends of servers for some time, since they do not end each server that runs them. With
// success, so that the server has worked on all of it, it also speaks for the parts of its prompt.
func (a *Attempt) Completed(success bool) {
	d := a.detector
	d.mutex.Lock()
	now := d.now()
	d.attempts.remove(a)
	d.completed.add(now, a.content.Digest)
	r := masticcall.ServerReport{Verdict: masticcall.VerdictCompleted, FailedAt: now}
	if d.suspects[a.content.Digest] {
		delete(d.suspects, a.content.Digest)
		r.Requests = []masticcall.FailedRequest{{Content: masticcall.Content{Digest: a.content.Digest}, SentAt: a.sentAt}}
	}
	if success {
		r.CompletedParts = d.completeParts(now, a.content.Parts)
	}
	d.mutex.Unlock()
	if len(r.Requests)+len(r.CompletedParts) > 0 {
		d.reporter.Report(r)
	}
}

// Failed records that the attempt failed as it does if the server ends: its connection broke or its
// answer is no proper one. It waits for a verdict until ctx ends.
func (a *Attempt) Failed(ctx context.Context) masticcall.Verdict { return a.awaitVerdict(ctx, false) }

// awaitVerdict records that the attempt failed, has its server checked and waits for a verdict until ctx ends.
func (a *Attempt) awaitVerdict(ctx context.Context, abandoned bool) masticcall.Verdict {
	w, decided := a.detector.fail(a, abandoned, true)
	if w == nil {
		return masticcall.VerdictUnknown
	}
	select {
	case <-decided:
	case <-ctx.Done():
	}
	a.detector.mutex.Lock()
	defer a.detector.mutex.Unlock()
	return w.episode.verdict
}

// Abandoned records that the request was given up, because its deadline passed or its caller left. The
// server is not checked for it.
func (a *Attempt) Abandoned() { a.detector.fail(a, true, false) }

// AbandonedTrial is Abandoned for a request that ran as a trial: the server is checked, since its silence may be
// its end. It waits for a verdict until ctx ends.
func (a *Attempt) AbandonedTrial(ctx context.Context) masticcall.Verdict {
	return a.awaitVerdict(ctx, true)
}

// Refused records that the server's host refused a connection.
func (a *Attempt) Refused() {
	a.End()
	a.detector.observe(a, a.detector.now(), SignRefused)
}

// End ends the attempt without a failure that may be the server's end.
func (a *Attempt) End() {
	a.detector.mutex.Lock()
	defer a.detector.mutex.Unlock()
	a.detector.attempts.remove(a)
}

// runningAttempts are the attempts that have not ended, by server.
type runningAttempts map[string]map[*Attempt]struct{}

func (r runningAttempts) add(a *Attempt) {
	of := r[a.server.Name]
	if of == nil {
		of = map[*Attempt]struct{}{}
		r[a.server.Name] = of
	}
	of[a] = struct{}{}
}

func (r runningAttempts) remove(a *Attempt) {
	of := r[a.server.Name]
	delete(of, a)
	if len(of) == 0 {
		delete(r, a.server.Name)
	}
}

// update updates the servers that v lists. It returns the attempts on incarnations that v does not.
func (r runningAttempts) update(v masticview.View) []*Attempt {
	var unlisted []*Attempt
	for name, of := range r {
		s, listed := v.Server(name)
		for a := range of {
			if listed && s.Incarnation == a.server.Incarnation {
				a.server = s
				continue
			}
			unlisted = append(unlisted, a)
		}
	}
	return unlisted
}
