// Package masticdetector is a failure detector for backend servers: after requests failed on one, it
// joins what is seen of the server over time to tell whether its incarnation has ended. A broken
// connection proves nothing by itself, and an end shows at a moment that nobody knows: a process may
// close its port before or after its connections, another may keep the port open, and the list of
// servers lags.
package masticdetector

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticview"
)

const (
	// checkTimeout bounds one check of a server.
	checkTimeout = 250 * time.Millisecond
	// answerDelay bounds the time from when a server sends the beginning of an answer until this host
	// has read it.
	answerDelay = 20 * time.Millisecond
	// maxWatches bounds the servers that are watched at once, maxConcurrentChecks their checks.
	maxWatches          = 1024
	maxConcurrentChecks = 16
)

// Checker checks whether the given incarnation of a backend server lives. It returns SignNone if the
// check fails without a proof.
type Checker interface {
	Check(ctx context.Context, server masticview.Server, incarnation string) Sign
}

// Detector watches the backend servers on which requests failed. It is safe for concurrent use.
type Detector struct {
	checker  Checker
	reporter masticcall.SuspectReporter
	log      logrus.FieldLogger
	now      func() time.Time
	slots    chan struct{}
	context  context.Context
	cancel   context.CancelFunc
	checks   sync.WaitGroup

	mutex    sync.Mutex
	attempts runningAttempts
	watches  map[string]*watch
	overfull bool
	// completed are the contents that servers have completed, and completedParts the parts of prompts.
	completed, completedParts recentDigests
	// suspects are the digests of SetSuspects, as far as no completion has been reported since.
	suspects map[masticview.Digest]bool
}

// Option sets one property of a Detector.
type Option func(*Detector)

// WithLog sets the logger; the default is logrus.StandardLogger.
func WithLog(l logrus.FieldLogger) Option { return func(d *Detector) { d.log = l } }

// WithClock replaces masticclock.Now.
func WithClock(now func() time.Time) Option { return func(d *Detector) { d.now = now } }

// New returns a Detector that checks servers with c and reports to r.
func New(c Checker, r masticcall.SuspectReporter, options ...Option) *Detector {
	d := &Detector{
		checker: c, reporter: r, log: logrus.StandardLogger(), now: masticclock.Now,
		slots: make(chan struct{}, maxConcurrentChecks), attempts: runningAttempts{}, watches: map[string]*watch{},
	}
	d.context, d.cancel = context.WithCancel(context.Background())
	for _, o := range options {
		o(d)
	}
	return d
}

// Close ends all checks.
func (d *Detector) Close() {
	d.cancel()
	d.checks.Wait()
}

// fail records that a failed, and has its server checked if checked. It returns the watch of the server, nil if too many
// are watched, and a channel that is closed when there is a verdict.
func (d *Detector) fail(a *Attempt, abandoned, checked bool) (*watch, <-chan struct{}) {
	d.mutex.Lock()
	now := d.now()
	d.attempts.remove(a)
	w := d.watch(now, a.server, a.incarnation, a.sentAt)
	if w == nil {
		d.mutex.Unlock()
		return nil, nil
	}
	if w.episode.fail(now, checked) {
		w.restart()
	}
	var reports []masticcall.ServerReport
	if q, ok := d.blamable(now, a); ok {
		reports = w.episode.blame(now, q, abandoned)
	}
	w.updateDecided()
	decided := w.decided
	d.mutex.Unlock()
	d.report(reports)
	return w, decided
}

// blamable returns the request of a as one that may have caused a failure, and false if it cannot have.
func (d *Detector) blamable(now time.Time, a *Attempt) (masticcall.FailedRequest, bool) {
	q := masticcall.FailedRequest{Content: a.content, ContentCompleted: d.completed.contains(now, a.content.Digest), SentAt: a.sentAt}
	return q, !q.ContentCompleted || len(q.Content.Parts) > 0
}

// completeParts records the completion of a request with the given parts. It returns those that are suspects
// and whose completion is to be reported.
func (d *Detector) completeParts(now time.Time, parts []masticview.Digest) map[masticview.Digest]time.Time {
	suspects := map[masticview.Digest]time.Time{}
	for _, p := range parts {
		d.completedParts.add(now, p)
		if d.suspects[p] {
			delete(d.suspects, p)
			suspects[p] = now
		}
	}
	return suspects
}

// watch returns the watch of the incarnation on which a request that was sent at sentAt ran, nil if too
// many servers are watched.
func (d *Detector) watch(now time.Time, server masticview.Server, incarnation string, sentAt time.Time) *watch {
	w, ok := d.watches[server.Name]
	if ok && w.episode.incarnation == incarnation && !w.episode.expired(now) && !w.episode.succeeded(sentAt) {
		return w
	}
	d.removeExpired(now)
	if len(d.watches) >= maxWatches {
		if !d.overfull {
			d.log.WithField("servers", len(d.watches)).Error("too many failed backend servers; further ones are not watched")
		}
		d.overfull = true
		return nil
	}
	d.overfull = false
	w = newWatch(d, newEpisode(server, incarnation))
	d.watches[server.Name] = w
	return w
}

func (d *Detector) removeExpired(now time.Time) {
	for name, w := range d.watches {
		if w.episode.expired(now) {
			delete(d.watches, name)
		}
	}
}

// observe applies a sign that a showed and that tells of seenAt, if the server is watched.
func (d *Detector) observe(a *Attempt, seenAt time.Time, sign Sign) {
	d.mutex.Lock()
	w, ok := d.watches[a.server.Name]
	if !ok || w.episode.incarnation != a.incarnation {
		d.mutex.Unlock()
		return
	}
	reports := w.observe(d.now(), seenAt, sign)
	d.mutex.Unlock()
	w.deliver(reports)
}

// SetView applies the list of backend servers in v, to the servers that are watched and to those on
// which requests are running: a server can end without breaking its connections.
func (d *Detector) SetView(v masticview.View) {
	d.mutex.Lock()
	now := d.now()
	d.removeExpired(now)
	for _, a := range d.attempts.update(v) {
		if _, ok := d.blamable(now, a); !ok {
			continue
		}
		if w := d.watch(now, a.server, a.incarnation, a.sentAt); w != nil {
			w.episode.fail(now, false)
		}
	}
	reports := map[*watch][]masticcall.ServerReport{}
	for name, w := range d.watches {
		s, listed := v.Server(name)
		switch {
		case listed && s.Incarnation == w.episode.server.Incarnation:
			w.episode.server = s
		case listed:
			reports[w] = w.observe(now, now, SignReplaced)
		case w.episode.verdict == masticcall.VerdictLost:
			// Two signs of different kinds say that it has ended.
			reports[w] = w.observe(now, now, SignReplaced)
		default:
			// A list can leave out a server that lives.
			w.checkOnce()
		}
	}
	d.mutex.Unlock()
	for w, of := range reports {
		w.deliver(of)
	}
}

// SetSuspects applies that all hosts together suspect the requests with the given contents, or parts. The
// contents that a server has completed for this host a short time ago are reported as harmless; of a part
// the next completion is, since it may have been harmless before.
func (d *Detector) SetSuspects(digests []masticview.Digest) {
	d.mutex.Lock()
	now := d.now()
	r := masticcall.ServerReport{Verdict: masticcall.VerdictCompleted, FailedAt: now}
	d.suspects = make(map[masticview.Digest]bool, len(digests))
	for _, x := range digests {
		d.suspects[x] = true
		if d.completed.contains(now, x) {
			r.Requests = append(r.Requests, masticcall.FailedRequest{Content: masticcall.Content{Digest: x}, SentAt: now})
		}
	}
	d.mutex.Unlock()
	if len(r.Requests) > 0 {
		d.reporter.Report(r)
	}
}

func (d *Detector) report(reports []masticcall.ServerReport) {
	for _, r := range reports {
		r.CompletedParts = d.completionsOf(r.Requests)
		d.reporter.Report(r)
	}
}

// completionsOf returns when requests with the parts of the given ones last completed, as far as that is
// known.
func (d *Detector) completionsOf(requests []masticcall.FailedRequest) map[masticview.Digest]time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, out := d.now(), map[masticview.Digest]time.Time{}
	for _, q := range requests {
		for _, p := range q.Content.Parts {
			if at, ok := d.completedParts.last(now, p); ok {
				out[p] = at
			}
		}
	}
	return out
}
