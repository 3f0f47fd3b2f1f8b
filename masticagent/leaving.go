package masticagent

import (
	"context"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// maxPendingLeaving bounds the reports of leaving backend servers that wait for the control group.
const maxPendingLeaving = 1024

// Leaving returns the reporter of backend servers that state that they are leaving.
func (a *Agent) Leaving() *LeavingReporter { return &LeavingReporter{agent: a} }

// LeavingReporter reports to the control group, which tells all hosts, that backend servers have stated
// that they are leaving.
type LeavingReporter struct{ agent *Agent }

// ReportLeaving queues a report, unless this host's view says already that the incarnation is leaving, or
// names no incarnation: then the control group could not tell when the statement ends.
// If maxPendingLeaving are pending, the report is dropped and logged; this host obeys the statement anyway.
func (l *LeavingReporter) ReportLeaving(server, incarnation string) {
	if s, ok := l.agent.View().Server(server); !ok || incarnation == "" || s.Incarnation != incarnation || s.StatedLeaving {
		return
	}
	l.agent.reporter.addLeaving(&masticproto.ServerLeaving{Server: server, Incarnation: incarnation})
}

func (r *reporter) addLeaving(l *masticproto.ServerLeaving) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.leaving) >= maxPendingLeaving {
		r.agent.log.WithField("server", l.GetServer()).Error("too many pending reports of leaving backend servers; report dropped")
		return
	}
	r.leaving = append(r.leaving, l)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// sendLeaving sends the pending reports of leaving backend servers, the oldest first. Reports that the
// view has overtaken are left out: of the hosts that hear a server at once, most need not send anything.
func (r *reporter) sendLeaving(ctx context.Context) error {
	for {
		l := r.firstLeaving()
		if l == nil {
			return nil
		}
		s, ok := r.agent.View().Server(l.GetServer())
		if ok && s.Incarnation == l.GetIncarnation() && !s.StatedLeaving {
			err := r.commitBriefly(ctx, &masticproto.Command{Kind: &masticproto.Command_Leaving{Leaving: l}})
			if err != nil && (!isFinal(err) || masticerror.KindOf(err) == masticerror.KindOverloaded) {
				return err
			}
			if err != nil {
				r.agent.log.WithError(err).WithField("server", l.GetServer()).Warn("report of a leaving backend server dropped")
			}
		}
		r.dropLeaving()
	}
}

func (r *reporter) firstLeaving() *masticproto.ServerLeaving {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.leaving) == 0 {
		return nil
	}
	return r.leaving[0]
}

// dropLeaving drops the first pending report. Only the goroutine that sends reports calls it.
func (r *reporter) dropLeaving() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leaving = r.leaving[1:]
}
