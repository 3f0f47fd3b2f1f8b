package masticprobe

import (
	"time"

	"masticladder/masticview"
)

// turn decides which backend server is probed next. It has no input or output.
type turn struct {
	spacing time.Duration
	servers []masticview.Server
	next    int
	due     time.Time
}

// setServers replaces the servers that are probed. Retired ones are left out.
func (t *turn) setServers(all []masticview.Server) {
	t.servers = t.servers[:0:0]
	for _, s := range all {
		if s.Kind == masticview.ServerEngine && s.State != masticview.ServerRetired {
			t.servers = append(t.servers, s)
		}
	}
}

// take returns the server to probe at now, if one is due.
func (t *turn) take(now time.Time) (masticview.Server, bool) {
	if len(t.servers) == 0 || now.Before(t.due) {
		return masticview.Server{}, false
	}
	t.due = now.Add(t.spacing)
	t.next %= len(t.servers)
	s := t.servers[t.next]
	t.next++
	return s, true
}
