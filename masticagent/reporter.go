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

// reporter implements masticcall.Usage: it collects and sends reports each interval, and
// suspects at once.
type reporter struct {
	agent *Agent
	kick  chan struct{}

	mutex    sync.Mutex
	counter  *masticusage.Counter
	suspects []*masticproto.SuspectReport
}

func newReporter(a *Agent) *reporter {
	return &reporter{agent: a, kick: make(chan struct{}, 1), counter: masticusage.NewCounter(a.host, a.incarnation)}
}

// Add counts what one request used.
func (r *reporter) Add(u masticcall.UsageRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Add(u)
}

// Report shares the requests that ran on a backend server when its incarnation ended.
// Beyond DefaultPendingSuspects reports the oldest makes room, which is logged.
func (r *reporter) Report(server, serverIncarnation string, digests []masticview.Digest) {
	report := &masticproto.SuspectReport{
		Server:                server,
		ServerIncarnation:     serverIncarnation,
		QuarantineUntilUnixMs: masticclock.Now().Add(r.agent.quarantine).UnixMilli(),
	}
	for _, d := range digests {
		report.Digests = append(report.Digests, d[:])
	}
	r.push(report)
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *reporter) push(report *masticproto.SuspectReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.suspects) >= DefaultPendingSuspects {
		r.agent.log.WithField("server", r.suspects[0].GetServer()).Error("too many reports of suspects wait; the oldest is dropped")
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
	case <-r.kick:
	case <-ctx.Done():
	}
}

// send sends what is not acknowledged yet; what fails is sent again with the next.
func (r *reporter) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.agent.reportInterval)
	defer cancel()
	if err := r.sendSuspects(ctx); err != nil {
		r.agent.log.WithError(err).Warn("suspects were not reported yet")
		return
	}
	r.sendUsage(ctx)
}

// sendSuspects sends the reports that wait, the oldest first. Several goroutines may send at
// once: a report that control gets twice changes nothing.
func (r *reporter) sendSuspects(ctx context.Context) error {
	for {
		report := r.firstSuspects()
		if report == nil {
			return nil
		}
		if _, err := r.agent.command(ctx, &masticproto.Command{Kind: &masticproto.Command_Suspect{Suspect: report}}, r.agent.attempt); err != nil {
			return err
		}
		r.dropSuspects(report)
		r.agent.renewer.soon()
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
	answer, err := r.agent.command(ctx, &masticproto.Command{Kind: &masticproto.Command_Usage{Usage: report}}, r.agent.attempt)
	if err != nil {
		r.agent.log.WithError(err).Warn("usage was not reported yet")
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Acknowledged(answer.GetSequence())
}

func (r *reporter) usageReport() *masticproto.UsageReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.counter.Report()
}
