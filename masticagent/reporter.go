package masticagent

import (
	"context"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticusage"
)

// suspectAttemptTimeout bounds one attempt to send a suspect report, and so the error of its ages.
const suspectAttemptTimeout = 500 * time.Millisecond

// reporter implements masticcall.Usage. It collects usage and reports it at every interval;
// suspects are reported immediately.
type reporter struct {
	agent *Agent
	wake  chan struct{}

	mutex    sync.Mutex
	counter  *masticusage.Counter
	suspects reportQueue
	// leaving are the backend servers that stated that they are leaving, the oldest first.
	leaving []*masticproto.ServerLeaving
}

func newReporter(a *Agent) *reporter {
	return &reporter{agent: a, wake: make(chan struct{}, 1), counter: masticusage.NewCounter(a.host, a.incarnation)}
}

// Add adds the usage of one request.
func (r *reporter) Add(u masticcall.UsageRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Add(u)
}

// Report queues the verdict on a backend server. If MaxPendingSuspectReports are pending, the oldest is
// dropped and logged.
func (r *reporter) Report(report masticcall.ServerReport) {
	r.push(&report)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) push(report *masticcall.ServerReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if oldest := r.suspects.reports; len(oldest) >= MaxPendingSuspectReports {
		r.agent.log.WithField("server", oldest[0].Server).Error("too many pending suspect reports; dropping the oldest")
		r.suspects.drop(oldest[0])
	}
	r.suspects.add(report)
}

func (r *reporter) run(ctx context.Context) {
	defer r.agent.running.Done()
	for ctx.Err() == nil {
		r.wait(ctx)
		r.send(ctx)
	}
}

func (r *reporter) wait(ctx context.Context) {
	t := time.NewTimer(r.agent.reportInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.wake:
	case <-ctx.Done():
	}
}

// send sends unacknowledged reports. Failed ones are sent again at the next interval.
func (r *reporter) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.agent.reportInterval)
	defer cancel()
	if err := r.sendSuspectsInIntervals(ctx); err != nil {
		r.agent.log.WithError(err).Warn("suspect report failed; it is retried")
		return
	}
	if err := r.sendLeaving(ctx); err != nil {
		r.agent.log.WithError(err).Warn("report of a leaving backend server failed; it is retried")
		return
	}
	r.sendUsage(ctx)
}

// sendSuspects sends pending suspect reports, the oldest first. Goroutines may send concurrently: the ID of a failure shows
// that it is committed again, and reports of completed requests and live servers say the same twice. An attempt is short,
// so that the ages which a report states hold when it is committed.
func (r *reporter) sendSuspects(ctx context.Context) error {
	for {
		if sent, err := r.sendFirstSuspects(ctx); err != nil || !sent {
			return err
		}
	}
}

// sendFirstSuspects sends the oldest pending suspect report, and reports whether there was one.
func (r *reporter) sendFirstSuspects(ctx context.Context) (bool, error) {
	for {
		report := r.firstSuspects()
		if report == nil {
			return false, nil
		}
		command := &masticproto.Command{Kind: &masticproto.Command_Suspect{Suspect: r.agent.suspectReport(masticclock.Now(), *report)}}
		err := r.commitBriefly(ctx, command)
		switch {
		case err == nil:
			r.dropSuspects(report)
			r.agent.renewer.renewNow()
			return true, nil
		case ctx.Err() != nil || isFinal(err):
			return true, err
		}
	}
}

// sendSuspectsInIntervals sends pending suspect reports, one in each suspectInterval, and again what the control group had no
// room for. Reports that wait are merged.
func (r *reporter) sendSuspectsInIntervals(ctx context.Context) error {
	for {
		sent, err := r.sendFirstSuspects(ctx)
		delay := r.suspectInterval()
		switch {
		case masticerror.KindOf(err) == masticerror.KindOverloaded:
			delay = max(delay, rejectedReportDelay)
		case err != nil:
			return err
		case !sent:
			return nil
		}
		sleep(ctx, delay)
		if ctx.Err() != nil {
			return err
		}
	}
}

func (r *reporter) commitBriefly(ctx context.Context, c *masticproto.Command) error {
	ctx, cancel := context.WithTimeout(ctx, suspectAttemptTimeout)
	defer cancel()
	_, err := r.agent.commit(ctx, c, r.agent.attemptTimeout)
	return err
}

func (r *reporter) firstSuspects() *masticcall.ServerReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.suspects.first()
}

func (r *reporter) dropSuspects(report *masticcall.ServerReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.suspects.drop(report)
}

func (r *reporter) sendUsage(ctx context.Context) {
	report := r.usageReport()
	if report == nil {
		return
	}
	answer, err := r.agent.commit(ctx, &masticproto.Command{Kind: &masticproto.Command_Usage{Usage: report}}, r.agent.attemptTimeout)
	if err != nil {
		r.agent.log.WithError(err).Warn("usage report failed; it is retried")
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Acknowledge(answer.GetSequence())
}

func (r *reporter) usageReport() *masticproto.UsageReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.counter.Report()
}
