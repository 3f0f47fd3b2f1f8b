package masticdispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticschedule"
	"masticladder/masticshard"
)

const (
	// shardQueueTimeout is how long a request waits at a coordinator for an engine of the shard. After it
	// the next shard is tried.
	shardQueueTimeout = 60 * time.Millisecond
	// assignTimeout bounds one question to a coordinator.
	assignTimeout = 150 * time.Millisecond
	// coordinatorCooldown is how long a coordinator that is out of reach is not asked.
	coordinatorCooldown = time.Second
	// busyCooldown is the mean time for which a coordinator is not asked that is late or rejects questions. It
	// varies by half, so that hosts don't ask again together.
	busyCooldown = 100 * time.Millisecond
	// maxPendingQuestions is the number of commands in the inbox from which a coordinator rejects questions: a
	// coordinator with half a core takes some 50 ms for them.
	maxPendingQuestions = 256
	// maxShardsTried is the number of shards that are asked before the request is assigned without
	// knowledge of other hosts' work, and maxRefusedAssignments that of the engines of a shard that this
	// host may not use.
	maxShardsTried        = 2
	maxRefusedAssignments = 2
)

// WithCoordinators makes the dispatcher ask the coordinators of shards for engines, on sites that are large
// enough to have shards.
func WithCoordinators(c masticcall.Coordinators) Option {
	return func(d *Dispatcher) { d.sharding.coordinators = c }
}

// sharding is a host's part in the assignment by shards.
type sharding struct {
	coordinators masticcall.Coordinators

	mutex  sync.Mutex
	shards *masticshard.Map
	// lastID is the ID of the last question to a coordinator. It starts at random, so that a restarted host
	// does not use those of its former process.
	lastID uint64
	// cooldowns are the times, by peer address, until which coordinators are not asked.
	cooldowns map[string]time.Time
	// busyUntil are the times, by peer address, until which coordinators are spared. They keep their shards.
	busyUntil map[string]time.Time
	// assigned are the requests of other hosts that run on engines of this host's shards.
	assigned map[assignmentKey]assignedRequest
	sweepAt  time.Time
}

// assignmentKey identifies an assignment to another host.
type assignmentKey struct {
	host string
	id   uint64
}

type assignedRequest struct {
	ticket   masticschedule.Ticket
	deadline time.Time
}

// setShards replaces the division into shards. It reports whether that is another one.
func (s *sharding) setShards(m *masticshard.Map) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := s.shards != m
	s.shards = m
	return changed
}

// logShards logs the first coordinators of all shards, by pool.
func (d *Dispatcher) logShards(revision uint64, m *masticshard.Map) {
	d.log.WithField("revision", revision).WithField("coordinators", m.Coordinators()).Info("coordinators of shards changed")
}

func (s *sharding) current() *masticshard.Map {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shards
}

// Sharded reports whether coordinators assign engines, so that hosts do not report their work to each
// other.
func (d *Dispatcher) Sharded() bool {
	return d.sharding.coordinators != nil && d.sharding.current() != nil
}

// coordinator returns the first coordinator of a shard that is not in its cooldown.
func (s *sharding) coordinator(now time.Time, shard masticshard.Shard) (masticshard.Host, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range shard.Coordinators {
		if !now.Before(s.cooldowns[h.Peer]) {
			return h, true
		}
	}
	return masticshard.Host{}, false
}

// isBusy reports whether a coordinator is to be spared.
func (s *sharding) isBusy(now time.Time, peer string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Before(s.busyUntil[peer])
}

// answerKind is how a coordinator reacted to a question.
type answerKind int

const (
	answered answerKind = iota
	// answeredBusy is a rejection, or an answer that comes too late.
	answeredBusy
	outOfReach
)

func kindOfAnswer(a masticcall.ShardAssignment, err error) answerKind {
	switch {
	case err == nil && !a.Busy:
		return answered
	case err == nil || masticerror.KindOf(err) == masticerror.KindOverloaded:
		return answeredBusy
	default:
		return outOfReach
	}
}

// recordAnswer records how a coordinator reacted.
func (s *sharding) recordAnswer(now time.Time, peer string, k answerKind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch k {
	case outOfReach:
		s.cooldowns[peer] = now.Add(coordinatorCooldown)
	case answeredBusy:
		delete(s.cooldowns, peer)
		s.busyUntil[peer] = now.Add(busyCooldown/2 + rand.N(busyCooldown))
	default:
		delete(s.cooldowns, peer)
		delete(s.busyUntil, peer)
	}
}

func (s *sharding) newID() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	return s.lastID
}

// acquireFromShards has coordinators assign an engine. It returns nil if none does; the request is then
// assigned by what this host knows itself.
func (d *Dispatcher) acquireFromShards(ctx context.Context, r masticcall.Request, prompt masticprompt.Prompt) masticcall.Assignment {
	division := d.sharding.current()
	if d.sharding.coordinators == nil || division == nil {
		return nil
	}
	shards := division.Rank(r.Model, masticroute.PrefixHash(r.Workspace, r.Model, prompt))
	asked := 0
	for _, s := range shards {
		host, ok := d.sharding.coordinator(time.Now(), s)
		if !ok || d.sharding.isBusy(time.Now(), host.Peer) {
			continue
		}
		if a := d.acquireFromShard(ctx, s, r, prompt); a != nil || ctx.Err() != nil {
			return a
		}
		if asked++; asked == maxShardsTried {
			return nil
		}
	}
	return nil
}

// acquireFromShard asks the coordinator of one shard. A second one is asked if the first is out of reach.
func (d *Dispatcher) acquireFromShard(ctx context.Context, s masticshard.Shard, r masticcall.Request, prompt masticprompt.Prompt) masticcall.Assignment {
	r.Shard = s.Number
	for range maxRefusedAssignments {
		host, ok := d.sharding.coordinator(time.Now(), s)
		if !ok {
			return nil
		}
		d.reportTakeover(r.Model, s, host)
		if host.Name == d.host {
			return d.acquireOwnShard(ctx, r, prompt)
		}
		q := masticcall.ShardRequest{Host: d.host, ID: d.sharding.newID(), Request: r}
		answer, kind := d.ask(ctx, host.Peer, q)
		if kind == outOfReach {
			continue
		}
		if answer.Server == "" {
			return nil
		}
		if a := d.adopt(ctx, host.Peer, q, answer, prompt); a != nil {
			return a
		}
		d.sharding.coordinators.Update(host.Peer, masticcall.ShardUpdate{
			Host: d.host, ID: q.ID, Done: true, Result: masticcall.Result{Failure: string(masticerror.KindCancelled)},
		})
		r.Avoid = append(r.Avoid[:len(r.Avoid):len(r.Avoid)], answer.Server)
	}
	return nil
}

func (d *Dispatcher) ask(ctx context.Context, peer string, q masticcall.ShardRequest) (masticcall.ShardAssignment, answerKind) {
	asked, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	answer, err := d.sharding.coordinators.Assign(asked, peer, q)
	kind := kindOfAnswer(answer, err)
	if err != nil {
		d.log.WithError(err).WithField("request", q.Request.ID).WithField("peer", peer).WithField("shard", q.Request.Shard).WithField("late", kind == answeredBusy).Warn("coordinator gave no answer")
		// Without an answer, the coordinator may have assigned an engine.
		d.sharding.coordinators.Update(peer, masticcall.ShardUpdate{
			Host: q.Host, ID: q.ID, Done: true, Result: masticcall.Result{Failure: string(masticerror.KindCancelled)},
		})
	}
	if ctx.Err() == nil {
		d.sharding.recordAnswer(time.Now(), peer, kind)
	}
	return answer, kind
}

// Busy reports whether so many commands wait that another host's question would be answered late.
func (d *Dispatcher) Busy() bool { return len(d.inbox) >= maxPendingQuestions }

// acquireOwnShard assigns an engine of a shard that this host coordinates.
func (d *Dispatcher) acquireOwnShard(ctx context.Context, r masticcall.Request, prompt masticprompt.Prompt) masticcall.Assignment {
	o, err := d.submitToShard(ctx, r, prompt)
	if err != nil || o.Err != nil {
		return nil
	}
	d.logDecision(r, &o)
	return d.assignment(o, r.Workspace, r.Class)
}

// submitToShard waits for an engine of the request's shard until shardQueueTimeout.
func (d *Dispatcher) submitToShard(ctx context.Context, r masticcall.Request, prompt masticprompt.Prompt) (masticschedule.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, shardQueueTimeout)
	defer cancel()
	r.Levels = nil
	reply := make(chan masticschedule.Outcome, 1)
	return d.sendAndWait(ctx, &submit{request: r, prompt: prompt, reply: reply}, reply)
}

// AssignFromShard assigns an engine of a shard that this host coordinates to a request of another host. The
// answer names no server if the shard cannot take the request now.
func (d *Dispatcher) AssignFromShard(ctx context.Context, q masticcall.ShardRequest) masticcall.ShardAssignment {
	expired, full := d.sharding.expire(time.Now())
	d.cancelAll(expired)
	if full {
		return masticcall.ShardAssignment{}
	}
	q.Request.OtherHost = true
	o, err := d.submitToShard(ctx, q.Request, masticprompt.Cut(q.Request.Levels))
	if err != nil || o.Err != nil {
		return masticcall.ShardAssignment{}
	}
	// The asking host logs the decision.
	d.cancelAll(d.sharding.addAssigned(q, o.Ticket))
	c := &o.Decision
	return masticcall.ShardAssignment{
		Server: o.Server.Name, Incarnation: o.Server.Incarnation, WeightsVersion: o.Server.VersionOf(q.Request.ModelName()),
		FetchAddress: c.Fetch, SaveAddress: c.Save, CachedTokens: int64(c.Cached), Wait: c.Wait, Prefill: c.Prefill,
		Candidates: formatCandidates(&o),
	}
}

// assignedGrace is the time after the deadline of a request at which its assignment ends if its host has
// not reported the end.
const assignedGrace = time.Second

// maxAssigned bounds the requests of other hosts that are recorded at once.
const maxAssigned = 1 << 16

// cancelAll ends requests whose hosts have not reported their end.
func (d *Dispatcher) cancelAll(tickets []masticschedule.Ticket) {
	for _, t := range tickets {
		d.send(&done{t, time.Now(), masticcall.Result{Failure: string(masticerror.KindCancelled)}})
	}
}

// expire removes the assignments whose end was never reported and returns their tickets. It also reports
// whether no more can be recorded.
func (s *sharding) expire(now time.Time) (expired []masticschedule.Ticket, full bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !now.Before(s.sweepAt) {
		s.sweepAt = now.Add(assignedGrace)
		for k, a := range s.assigned {
			if now.After(a.deadline) {
				expired = append(expired, a.ticket)
				delete(s.assigned, k)
			}
		}
	}
	return expired, len(s.assigned) >= maxAssigned
}

// addAssigned records an assignment. It returns the ticket of one that it replaces, if any.
func (s *sharding) addAssigned(q masticcall.ShardRequest, t masticschedule.Ticket) []masticschedule.Ticket {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := assignmentKey{q.Host, q.ID}
	former, replaced := s.assigned[key]
	s.assigned[key] = assignedRequest{t, q.Request.Deadline.Add(assignedGrace)}
	if replaced {
		return []masticschedule.Ticket{former.ticket}
	}
	return nil
}

// UpdateShard applies another host's report on a request that was assigned to it.
func (d *Dispatcher) UpdateShard(u masticcall.ShardUpdate) {
	t, ok := d.sharding.ticketOf(u)
	switch {
	case !ok:
	case u.Done:
		d.send(&done{t, time.Now(), u.Result})
	default:
		d.send(&firstToken{t, time.Now()})
	}
}

// ticketOf returns the ticket of an assignment, and forgets it at its end.
func (s *sharding) ticketOf(u masticcall.ShardUpdate) (masticschedule.Ticket, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := assignmentKey{u.Host, u.ID}
	a, ok := s.assigned[k]
	if u.Done {
		delete(s.assigned, k)
	}
	return a.ticket, ok
}

// adopt records in this host's own state that a request is sent as its coordinator assigned it. It returns
// nil if this host may not use the engine.
func (d *Dispatcher) adopt(ctx context.Context, peer string, q masticcall.ShardRequest, a masticcall.ShardAssignment, prompt masticprompt.Prompt) masticcall.Assignment {
	r := q.Request
	r.Levels = nil
	reply := make(chan masticschedule.Outcome, 1)
	o, err := d.sendAndWait(ctx, &adopt{submit: submit{request: r, prompt: prompt, reply: reply}, assignment: a}, reply)
	if err != nil || o.Err != nil {
		return nil
	}
	d.logAdopted(peer, r, &o, a)
	own := d.assignment(o, r.Workspace, r.Class)
	own.coordinator, own.shardID = peer, q.ID
	d.takeover.add(own)
	return own
}

type adopt struct {
	submit
	assignment masticcall.ShardAssignment
}

func (c *adopt) apply(d *Dispatcher, now time.Time) {
	c.ticket = d.newTicket(c.reply)
	d.scheduler.Adopt(now, c.ticket, c.request, c.prompt, c.assignment)
}
