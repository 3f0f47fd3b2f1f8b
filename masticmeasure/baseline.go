package masticmeasure

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

// baselineCooldown is how long a baseline excludes a backend server after an error or a failed probe.
const baselineCooldown = time.Second

// baseline is a simple policy for comparison: it assigns each request on submission,
// without a queue, to the backend server that choose selects.
type baseline struct {
	servers []masticview.Server
	// choose returns the index of one of the usable servers.
	choose           func(b *baseline, usable []int, r masticcall.Request, p masticprompt.Prompt) int
	rotation         int
	ownRequests      []int64
	reportedRequests []int64
	cooldownUntil    []time.Time
	running          map[masticschedule.Ticket]int
	outcomes         []masticschedule.Outcome
}

func newBaseline(seed uint64, v masticview.View, choose func(*baseline, []int, masticcall.Request, masticprompt.Prompt) int) *baseline {
	n := len(v.Servers())
	return &baseline{
		servers: v.Servers(), choose: choose, rotation: int(seed % uint64(n)),
		ownRequests: make([]int64, n), reportedRequests: make([]int64, n), cooldownUntil: make([]time.Time, n),
		running: map[masticschedule.Ticket]int{},
	}
}

func newRoundRobin(seed uint64, v masticview.View) policy {
	return newBaseline(seed, v, chooseRoundRobin)
}

func newLeastLoaded(seed uint64, v masticview.View) policy {
	return newBaseline(seed, v, chooseLeastLoaded)
}

func newRendezvousOnly(seed uint64, v masticview.View) policy {
	return newBaseline(seed, v, chooseRendezvous)
}

// chooseRoundRobin cycles through the usable servers.
func chooseRoundRobin(b *baseline, usable []int, _ masticcall.Request, _ masticprompt.Prompt) int {
	b.rotation++
	return usable[b.rotation%len(usable)]
}

// chooseLeastLoaded selects the server with the fewest requests: the larger of this
// host's own count and the last reported count over all hosts.
func chooseLeastLoaded(b *baseline, usable []int, _ masticcall.Request, _ masticprompt.Prompt) int {
	b.rotation++
	best := usable[b.rotation%len(usable)]
	for _, i := range usable {
		if max(b.ownRequests[i], b.reportedRequests[i]) < max(b.ownRequests[best], b.reportedRequests[best]) {
			best = i
		}
	}
	return best
}

// chooseRendezvous selects the server by rendezvous hashing of its name with the
// prompt's prefix, which is all levels but the last.
func chooseRendezvous(b *baseline, usable []int, r masticcall.Request, p masticprompt.Prompt) int {
	pieces := p.Pieces(masticprompt.Seed{Workspace: r.Workspace, Model: r.Model})
	var prefix masticprompt.PieceID
	for _, c := range pieces {
		if c.Level < p.Levels()-1 {
			prefix = c.ID
		}
	}
	best, bestHash := usable[0], uint64(0)
	for _, i := range usable {
		h := xxhash.Sum64(append(prefix[:], b.servers[i].Name...))
		if h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// Submit assigns a server immediately, or fails if none is usable.
func (b *baseline) Submit(now time.Time, t masticschedule.Ticket, r masticcall.Request, p masticprompt.Prompt) {
	var usable []int
	for i, s := range b.servers {
		if now.Before(b.cooldownUntil[i]) || slices.Contains(r.Avoid, s.Name) {
			continue
		}
		usable = append(usable, i)
	}
	if len(usable) == 0 {
		b.outcomes = append(b.outcomes, masticschedule.Outcome{Ticket: t, Err: masticerror.New(masticerror.KindNoServer, "none usable")})
		return
	}
	i := b.choose(b, usable, r, p)
	b.ownRequests[i]++
	b.running[t] = i
	b.outcomes = append(b.outcomes, masticschedule.Outcome{Ticket: t, Server: b.servers[i]})
}

// FirstToken does nothing: baselines don't track prefill.
func (b *baseline) FirstToken(time.Time, masticschedule.Ticket) {}

// Done removes the request from its server's count, and excludes the server for
// baselineCooldown if the connection broke as if the server had ended.
func (b *baseline) Done(now time.Time, t masticschedule.Ticket, r masticcall.Result) {
	i, ok := b.running[t]
	if !ok {
		return
	}
	delete(b.running, t)
	b.ownRequests[i]--
	if r.ServerEnded {
		b.cooldownUntil[i] = now.Add(baselineCooldown)
	}
}

// Report stores the reported number of requests on a server.
func (b *baseline) Report(_ time.Time, r masticroute.LoadReport) {
	for i, s := range b.servers {
		if s.Name == r.Server {
			b.reportedRequests[i] = r.Running
		}
	}
}

// Events does nothing: baselines don't track cache contents.
func (b *baseline) Events(time.Time, string, string, masticcache.Batch) masticcache.Applied {
	return masticcache.Applied{}
}

// Probe excludes a server for baselineCooldown if it did not answer.
func (b *baseline) Probe(now time.Time, server, _ string, alive bool) {
	for i, s := range b.servers {
		if s.Name == server && !alive {
			b.cooldownUntil[i] = now.Add(baselineCooldown)
		}
	}
}

// Poll does nothing: baselines have no queue.
func (b *baseline) Poll(time.Time) {}

// NextPoll returns the zero time: no poll is needed.
func (b *baseline) NextPoll(time.Time) time.Time { return time.Time{} }

// Outcomes returns the outcomes since the last call.
func (b *baseline) Outcomes() []masticschedule.Outcome {
	out := b.outcomes
	b.outcomes = nil
	return out
}
