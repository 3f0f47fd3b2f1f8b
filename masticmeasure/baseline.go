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

// baselinePause is how long a baseline leaves out a backend server after an error.
const baselinePause = time.Second

// baseline sends each request at once to the backend server that choose gives.
type baseline struct {
	servers []masticview.Server
	// choose returns one of the usable servers for the request.
	choose   func(b *baseline, usable []int, r masticcall.Request, p masticprompt.Prompt) int
	turn     int
	own      []int64
	reported []int64
	downTo   []time.Time
	running  map[masticschedule.Ticket]int
	outcomes []masticschedule.Outcome
}

func newBaseline(seed uint64, v masticview.View, choose func(*baseline, []int, masticcall.Request, masticprompt.Prompt) int) *baseline {
	n := len(v.Servers())
	return &baseline{
		servers: v.Servers(), choose: choose, turn: int(seed % uint64(n)),
		own: make([]int64, n), reported: make([]int64, n), downTo: make([]time.Time, n),
		running: map[masticschedule.Ticket]int{},
	}
}

func newRoundRobin(seed uint64, v masticview.View) policy { return newBaseline(seed, v, byTurn) }

func newLeastLoaded(seed uint64, v masticview.View) policy { return newBaseline(seed, v, byLoad) }

func newRendezvousOnly(seed uint64, v masticview.View) policy {
	return newBaseline(seed, v, byRendezvous)
}

// byTurn takes the servers by turns.
func byTurn(b *baseline, usable []int, _ masticcall.Request, _ masticprompt.Prompt) int {
	b.turn++
	return usable[b.turn%len(usable)]
}

// byLoad takes the server with the fewest requests, by the own count and the last
// report of all hosts' requests, whichever is more.
func byLoad(b *baseline, usable []int, _ masticcall.Request, _ masticprompt.Prompt) int {
	b.turn++
	best := usable[b.turn%len(usable)]
	for _, i := range usable {
		if max(b.own[i], b.reported[i]) < max(b.own[best], b.reported[best]) {
			best = i
		}
	}
	return best
}

// byRendezvous takes the server with the highest hash with the prompt's prefix: all
// its levels but the last.
func byRendezvous(b *baseline, usable []int, r masticcall.Request, p masticprompt.Prompt) int {
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

// Submit assigns a server at once.
func (b *baseline) Submit(now time.Time, t masticschedule.Ticket, r masticcall.Request, p masticprompt.Prompt) {
	var usable []int
	for i, s := range b.servers {
		if now.Before(b.downTo[i]) || slices.Contains(r.Avoid, s.Name) {
			continue
		}
		usable = append(usable, i)
	}
	if len(usable) == 0 {
		b.outcomes = append(b.outcomes, masticschedule.Outcome{Ticket: t, Err: masticerror.New(masticerror.KindNoServer, "none usable")})
		return
	}
	i := b.choose(b, usable, r, p)
	b.own[i]++
	b.running[t] = i
	b.outcomes = append(b.outcomes, masticschedule.Outcome{Ticket: t, Server: b.servers[i]})
}

// FirstToken does nothing.
func (b *baseline) FirstToken(time.Time, masticschedule.Ticket) {}

// Done ends a request.
func (b *baseline) Done(now time.Time, t masticschedule.Ticket, r masticcall.Result) {
	i, ok := b.running[t]
	if !ok {
		return
	}
	delete(b.running, t)
	b.own[i]--
	if r.ServerEnded {
		b.downTo[i] = now.Add(baselinePause)
	}
}

// Report takes the number of requests on a server.
func (b *baseline) Report(_ time.Time, r masticroute.Report) {
	for i, s := range b.servers {
		if s.Name == r.Server {
			b.reported[i] = r.Running
		}
	}
}

// Events does nothing.
func (b *baseline) Events(time.Time, string, string, masticcache.Batch) masticcache.Applied {
	return masticcache.Applied{}
}

// Probe leaves out a server that does not answer.
func (b *baseline) Probe(now time.Time, server, _ string, alive bool) {
	for i, s := range b.servers {
		if s.Name == server && !alive {
			b.downTo[i] = now.Add(baselinePause)
		}
	}
}

// Poll does nothing.
func (b *baseline) Poll(time.Time) {}

// Wake asks for no poll.
func (b *baseline) Wake(time.Time) time.Time { return time.Time{} }

// Outcomes returns the outcomes since the last call.
func (b *baseline) Outcomes() []masticschedule.Outcome {
	out := b.outcomes
	b.outcomes = nil
	return out
}
