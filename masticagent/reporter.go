package masticagent

import (
	"context"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticusage"
	"masticladder/masticview"
)

// reporter implements masticcall.Usage. It collects usage and reports it at every interval;
// suspects are reported immediately.
type reporter struct {
	agent *Agent
	wake  chan struct{}

	mutex    sync.Mutex
	counter  *masticusage.Counter
	suspects []*masticproto.SuspectReport
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

// Report queues a report of the requests that ran on a backend server when its incarnation ended.
// If MaxPendingSuspectReports are pending, the oldest is dropped and logged.
func (r *reporter) Report(server, serverIncarnation string, digests []masticview.Digest) {
	report := &masticproto.SuspectReport{
		Server:                server,
		ServerIncarnation:     serverIncarnation,
		QuarantineUntilUnixMs: masticclock.Now().Add(r.agent.quarantinePeriod).UnixMilli(),
		QuarantineAfter:       uint32(r.agent.quarantineAfterFor(serverIncarnation)),
	}
	for _, d := range digests {
		report.Digests = append(report.Digests, d[:])
	}
	r.push(report)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) push(report *masticproto.SuspectReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.suspects) >= MaxPendingSuspectReports {
		r.agent.log.WithField("server", r.suspects[0].GetServer()).Error("too many pending suspect reports; dropping the oldest")
		r.suspects = r.suspects[1:]
	}
	r.suspects = append(r.suspects, report)
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

// send sends unacknowledged suspect and usage reports. Failed ones are sent again at the next
// interval.
func (r *reporter) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.agent.reportInterval)
	defer cancel()
	if err := r.sendSuspects(ctx); err != nil {
		r.agent.log.WithError(err).Warn("suspect report failed; it is retried")
		return
	}
	r.sendUsage(ctx)
}

// sendSuspects sends pending suspect reports, the oldest first. Goroutines may send concurrently:
// reports are idempotent.
func (r *reporter) sendSuspects(ctx context.Context) error {
	for {
		report := r.firstSuspects()
		if report == nil {
			return nil
		}
		if _, err := r.agent.commit(ctx, &masticproto.Command{Kind: &masticproto.Command_Suspect{Suspect: report}}, r.agent.attemptTimeout); err != nil {
			return err
		}
		r.dropSuspects(report)
		r.agent.renewer.renewNow()
	}
}

func (r *reporter) firstSuspects() *masticproto.SuspectReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.suspects) == 0 {
		return nil
	}
	return r.suspects[0]
}

func (r *reporter) dropSuspects(report *masticproto.SuspectReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.suspects) > 0 && r.suspects[0] == report {
		r.suspects = r.suspects[1:]
	}
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
