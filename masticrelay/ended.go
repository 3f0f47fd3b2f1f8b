package masticrelay

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"masticladder/masticview"
)

// endedServers names the incarnations of backend servers that end. The view learns of a restart
// only after the list of servers shows it, and of a server that keeps its name not at all while the
// control group is out of reach. It is safe for concurrent use.
type endedServers struct {
	mutex   sync.Mutex
	servers map[string]serverEnd
}

// serverEnd is the last end of a server.
type serverEnd struct {
	// incarnation is the one that the view states, restarts the number of restarts since that the
	// view does not show.
	incarnation string
	restarts    int
	endedAt     time.Time
}

// record records that server ended while an attempt ran there that began at startedAt. It returns
// the name of the incarnation that has ended.
func (e *endedServers) record(now, startedAt time.Time, server masticview.Server) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	x, known := e.servers[server.Name]
	switch {
	case !known || x.incarnation != server.Incarnation:
		x = serverEnd{incarnation: server.Incarnation, endedAt: now}
	case startedAt.After(x.endedAt):
		x.restarts, x.endedAt = x.restarts+1, now
	}
	if e.servers == nil {
		e.servers = map[string]serverEnd{}
	}
	e.servers[server.Name] = x
	if x.restarts == 0 {
		return x.incarnation
	}
	return fmt.Sprintf("%s+%d", x.incarnation, x.restarts)
}

// forgetExcept removes the servers that are not in v.
func (e *endedServers) forgetExcept(v masticview.View) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	maps.DeleteFunc(e.servers, func(name string, _ serverEnd) bool {
		_, listed := v.Server(name)
		return !listed
	})
}
