package masticroute

import (
	"slices"
	"time"

	"masticladder/masticview"
)

const (
	// peerFailureWindow is the time within which a second host has to report the same backend
	// server as terminated. With 57 hosts that send some 900 requests a second to 90 engines,
	// each engine gets about 10 requests a second, so a second report arrives within 1 s.
	peerFailureWindow = time.Second
	// peerFailureCooldown is how long such a server gets no requests. The server list shows a
	// termination after up to 1.2 s; hosts that still find the server terminated renew the
	// cooldown.
	peerFailureCooldown = 500 * time.Millisecond
	// answerWindow is how long an answer to this host overrides reports of other hosts.
	answerWindow = time.Second
	// maxTerminated bounds the terminated servers in one report.
	maxTerminated = 64
)

// peerFailures tracks the reports of other hosts that a backend server has terminated. A single
// reporting host may be cut off from the network itself, so two have to report it.
type peerFailures struct {
	reporter   string
	reportedAt time.Time
	// cooldownUntil is the end of the cooldown, answeredAt the time when the server last
	// answered this host.
	cooldownUntil, answeredAt time.Time
}

// report records that host found the server terminated.
func (f *peerFailures) report(now time.Time, host string) {
	if !f.answeredAt.IsZero() && now.Sub(f.answeredAt) < answerWindow {
		return
	}
	if f.reporter != "" && f.reporter != host && now.Sub(f.reportedAt) <= peerFailureWindow {
		f.cooldownUntil = now.Add(peerFailureCooldown)
	}
	f.reporter, f.reportedAt = host, now
}

// applyPeerFailures records the terminated servers in another host's report. A host that finds
// most engines terminated is cut off itself, so its report is ignored.
func (r *Router) applyPeerFailures(now time.Time, report PeerReport) {
	if len(report.Ended) > max(1, r.engines/2) {
		return
	}
	for _, name := range report.Ended {
		if slot, ok := r.slots[name]; ok {
			r.servers[slot].peerFailures.report(now, report.Host)
		}
	}
}

// recordTerminated adds s to the terminated servers in the next report to other hosts.
func (r *Router) recordTerminated(s *server) {
	if r.shared && s.info.Kind == masticview.ServerEngine && len(r.unsentTerminated) < maxTerminated && !slices.Contains(r.unsentTerminated, s.info.Name) {
		r.unsentTerminated = append(r.unsentTerminated, s.info.Name)
	}
}
