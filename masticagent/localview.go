package masticagent

import (
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// localView is the view as this host uses it: quarantines end by this host's monotonic clock. The times in
// the replicated view are those of a leader, and the time of day of hosts differs and may jump.
type localView struct {
	// replicated is the view as the control group has it, to which deltas apply.
	replicated masticview.View
	// ends are the ends of the quarantines in replicated, by both clocks.
	ends map[masticview.Digest]quarantineEnd
}

type quarantineEnd struct{ replicated, local time.Time }

// withUpdate returns the view after an update that arrived at now. Parts of the update that are not newer
// than the view are skipped.
func (l localView) withUpdate(now time.Time, u *masticproto.ViewUpdate) (localView, error) {
	next, err := applyUpdate(l.replicated, u)
	if err != nil || next.Revision() <= l.replicated.Revision() {
		return l, err
	}
	out := localView{replicated: next, ends: map[masticview.Digest]quarantineEnd{}}
	at := timeOf(now, u)
	for _, q := range next.Quarantines() {
		end, known := l.ends[q.Digest]
		if !known || !end.replicated.Equal(q.Until) {
			end = quarantineEnd{q.Until, now.Add(q.Until.Sub(at))}
		}
		out.ends[q.Digest] = end
	}
	return out, nil
}

// view returns the view with the ends of quarantines by this host's clock.
func (l localView) view() masticview.View {
	v := l.replicated
	for d, end := range l.ends {
		q, _ := l.replicated.Quarantine(d)
		if !q.DecidedAt.IsZero() {
			q.DecidedAt = end.local.Add(q.DecidedAt.Sub(q.Until))
		}
		q.Until = end.local
		v = v.WithQuarantine(q)
	}
	return v
}

// timeOf returns the time of the replicated state at an update, or now if the update does not state it.
func timeOf(now time.Time, u *masticproto.ViewUpdate) time.Time {
	ms := u.GetWhole().GetAtUnixMs()
	if n := len(u.GetDeltas()); n > 0 {
		ms = u.GetDeltas()[n-1].GetAtUnixMs()
	}
	if ms == 0 {
		return now
	}
	return time.UnixMilli(ms)
}
