package masticdetector

import (
	"context"
	"time"

	"masticladder/masticcall"
)

// watch runs the checks of one episode. The detector's mutex guards its fields.
type watch struct {
	detector *Detector
	episode  *episode
	// running reports that run is running; wake ends its wait for the next check.
	running bool
	wake    chan struct{}
	// decided is closed while there is a verdict whose reports are delivered.
	decided chan struct{}
	// undelivered counts the signs whose reports are under way.
	undelivered int
	// unlistedChecked reports that the server was checked when the list did not name it any more.
	unlistedChecked bool
}

func newWatch(d *Detector, e *episode) *watch {
	return &watch{detector: d, episode: e, decided: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// observe applies a sign that was seen at now and tells of seenAt. A proof of the end concerns all
// requests that run on the server. The detector's mutex is held. The caller delivers the reports afterwards.
func (w *watch) observe(now, seenAt time.Time, sign Sign) []masticcall.ServerReport {
	d, e := w.detector, w.episode
	w.undelivered++
	if sign.proof() && e.verdict != masticcall.VerdictEnded && !e.expired(now) {
		for a := range d.attempts[e.server.Name] {
			if q, ok := d.blamable(now, a); ok && a.incarnation == e.incarnation {
				e.add(now, q, true)
			}
		}
	}
	return e.observe(now, seenAt, sign)
}

// deliver delivers reports, and then the verdict to those who wait for it: what they do next comes after
// the report. The detector's mutex is not held.
func (w *watch) deliver(reports []masticcall.ServerReport) {
	d := w.detector
	d.report(reports)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	w.undelivered--
	w.updateDecided()
}

// updateDecided opens or closes decided by the verdict. The detector's mutex is held.
func (w *watch) updateDecided() {
	isClosed := false
	select {
	case <-w.decided:
		isClosed = true
	default:
	}
	switch unknown := w.episode.verdict == masticcall.VerdictUnknown; {
	case unknown && isClosed:
		w.decided = make(chan struct{})
	case !unknown && !isClosed && w.undelivered == 0:
		close(w.decided)
	}
}

// restart makes the checks begin again. The detector's mutex is held.
func (w *watch) restart() {
	if w.running {
		select {
		case w.wake <- struct{}{}:
		default:
		}
		return
	}
	w.running = true
	w.detector.checks.Add(1)
	go w.run()
}

// run checks the server until the episode needs no more checks.
func (w *watch) run() {
	defer w.detector.checks.Done()
	for w.wait() {
		sign, began := w.check()
		w.apply(sign, began)
	}
}

// wait waits until the next check is due. It reports false if none is, and run is to return.
func (w *watch) wait() bool {
	d := w.detector
	for {
		d.mutex.Lock()
		at, due := w.episode.nextCheck()
		if !due || d.context.Err() != nil {
			w.running = false
			d.mutex.Unlock()
			return false
		}
		d.mutex.Unlock()
		if w.sleep(at.Sub(d.now())) {
			return true
		}
	}
}

// sleep waits for t. It reports false if it was woken before.
func (w *watch) sleep(t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.wake:
	case <-w.detector.context.Done():
	}
	return false
}

// check checks the server once. It returns the sign and when the check began.
func (w *watch) check() (Sign, time.Time) {
	d := w.detector
	d.slots <- struct{}{}
	defer func() { <-d.slots }()
	d.mutex.Lock()
	server, incarnation, began := w.episode.server, w.episode.incarnation, d.now()
	d.mutex.Unlock()
	ctx, cancel := context.WithTimeout(d.context, checkTimeout)
	defer cancel()
	return d.checker.Check(ctx, server, incarnation), began
}

// apply applies the sign of a check that began at began.
func (w *watch) apply(sign Sign, began time.Time) {
	d := w.detector
	if d.context.Err() != nil {
		return
	}
	d.mutex.Lock()
	now, e := d.now(), w.episode
	reports := w.observe(now, began, sign)
	e.countCheck(began)
	d.log.WithField("server", e.server.Name).WithField("incarnation", e.incarnation).WithField("sign", sign.String()).
		WithField("verdict", e.verdict.String()).WithField("sinceMillis", now.Sub(e.failedAt).Milliseconds()).Info("failed backend server checked")
	d.mutex.Unlock()
	w.deliver(reports)
}

// checkOnce checks a server that is not listed any more, in addition to the checks that are due. The
// detector's mutex is held.
func (w *watch) checkOnce() {
	if w.unlistedChecked || w.episode.verdict == masticcall.VerdictEnded {
		return
	}
	w.unlistedChecked = true
	w.detector.checks.Add(1)
	u := &unlistedCheck{w}
	go u.run()
}

// unlistedCheck checks a server that the list of servers does not name any more. Without an answer it
// has ended: two signs of different kinds say so.
type unlistedCheck struct{ watch *watch }

func (u *unlistedCheck) run() {
	defer u.watch.detector.checks.Done()
	sign, began := u.watch.check()
	if sign == SignNone {
		sign = SignReplaced
	}
	u.watch.apply(sign, began)
}
