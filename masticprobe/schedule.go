package masticprobe

import (
	"time"

	"masticladder/masticview"
)

// schedule selects the backend server to probe next, round-robin at a fixed interval. It
// does no I/O.
type schedule struct {
	interval  time.Duration
	servers   []masticview.Server
	nextIndex int
	nextProbe time.Time
}

// setServers replaces the servers to probe by the engines in all that are not retired.
func (sc *schedule) setServers(all []masticview.Server) {
	sc.servers = sc.servers[:0:0]
	for _, s := range all {
		if s.Kind == masticview.ServerEngine && s.State != masticview.ServerRetired {
			sc.servers = append(sc.servers, s)
		}
	}
}

// next returns the server to probe at now, or false if no probe is due.
func (sc *schedule) next(now time.Time) (masticview.Server, bool) {
	if len(sc.servers) == 0 || now.Before(sc.nextProbe) {
		return masticview.Server{}, false
	}
	sc.nextProbe = now.Add(sc.interval)
	sc.nextIndex %= len(sc.servers)
	s := sc.servers[sc.nextIndex]
	sc.nextIndex++
	return s, true
}
