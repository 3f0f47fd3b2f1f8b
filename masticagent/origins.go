package masticagent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

const (
	// originBatch bounds the keys of streams of one command, maxOrigins those of this host that are recorded or asked
	// for at once.
	originBatch = 512
	maxOrigins  = 8192
	// maxEndedOrigins bounds the records of this host that are to be dropped.
	maxEndedOrigins = 8192
	// originAttemptTimeout bounds one attempt to reach the leader with a batch, originTimeout all of them.
	originAttemptTimeout = 300 * time.Millisecond
	originTimeout        = time.Second
	// originCooldown is the time after a batch without an answer, or a refused record, in which new streams begin at the
	// base version.
	originCooldown = 500 * time.Millisecond
	// takeUpTransit is how much later than the deadline that the host knows of a stream the question of a take-up may be
	// answered, which its caller has sent in time.
	takeUpTransit = 5 * time.Second
	// originIdleInterval is the time between two reports of ended streams that no other batch carried, on large
	// sites originIdlePerHost for each host.
	originIdleInterval = time.Second
	originIdlePerHost  = 20 * time.Millisecond
	// originSenders is the number of batches that are under way at once: a record that had to wait for the
	// commit before it would come after most first events.
	originSenders = 4
	// originBatchesPerSecond is what the leader takes of all hosts together, on sites with more than
	// fewHosts; docs/CAPACITY.md has what a batch costs.
	originBatchesPerSecond = 250
	fewHosts               = 20
	// maxOriginTokens is the number of batches that a host may send at once after a pause.
	maxOriginTokens = 4
)

// origins implements masticcall.Origins.
type origins struct {
	agent *Agent
	wake  chan struct{}

	mutex sync.Mutex
	// records are the streams that this host serves, and those that it has served and whose record was not acknowledged yet.
	records map[masticcall.StreamKey]*originRecord
	// unsent are the keys of records to write, ended those to drop, asked the open questions.
	unsent []masticcall.StreamKey
	ended  []masticcall.StreamKey
	asked  []*originQuestion
	// failedUntil is the end of the cooldown after a batch without an answer, zero after one with an answer.
	failedUntil time.Time
	// fullUntil is the end of the cooldown after the control group had no room for a record.
	fullUntil time.Time
	sequence  uint64
	// tokens is the number of batches that this host may send at tokensAt, on large sites.
	tokens   float64
	tokensAt time.Time
	// idleAt is when ended streams are reported next.
	idleAt time.Time
	// underWay are the sequences of the batches under way, busy the keys in them: a key is in one at a time.
	underWay map[uint64]bool
	busy     map[masticcall.StreamKey]bool
}

// originRecords implements masticcall.Recording for the records of a stream.
type originRecords []*originRecord

// originRecord is the record of a key.
type originRecord struct {
	software string
	// done is closed when the record was acknowledged or refused, with err.
	done chan struct{}
	err  error
	// acknowledged reports that the control group has it; queued that it is in unsent or on its way; ended that the host
	// does not serve the stream any more.
	acknowledged, queued, ended bool
	// deadline is the end of the record, written that of the batch under way or the last one.
	deadline, written time.Time
}

func newOrigins(a *Agent) *origins {
	return &origins{
		agent: a, wake: make(chan struct{}, 1), records: map[masticcall.StreamKey]*originRecord{},
		underWay: map[uint64]bool{}, busy: map[masticcall.StreamKey]bool{},
	}
}

// Origins returns the records of which software version began a stream.
func (a *Agent) Origins() masticcall.Origins { return a.origins }

// Available reports whether the leader answers and takes another batch of this host. On a large site it takes
// a share of the streams only; the others have to begin at the base version.
func (o *origins) Available() bool {
	return o.agent.views.controlReachable() && o.takesStream(masticclock.Now())
}

// takesStream reports whether a stream can be recorded now if the leader is in reach.
func (o *origins) takesStream(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.refill(now, o.agent.View().HostCount())
	return !now.Before(o.failedUntil) && !now.Before(o.fullUntil) && o.tokens >= 1 && len(o.records) <= maxOrigins-masticcall.MaxStreamKeys
}

// refill adds the tokens since the last call. The mutex is held.
func (o *origins) refill(now time.Time, hosts int) {
	earned := now.Sub(o.tokensAt).Seconds() * originBatchesPerSecond / float64(max(1, hosts))
	o.tokensAt = now
	o.tokens = min(maxOriginTokens, o.tokens+earned)
	if hosts <= fewHosts {
		o.tokens = maxOriginTokens
	}
}

// Record queues the records of a stream.
func (o *origins) Record(keys masticcall.StreamKeys, software string, deadline time.Time) masticcall.Recording {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	all := make(originRecords, 0, len(keys))
	for _, k := range keys {
		all = append(all, o.record(k, software, deadline))
	}
	return all
}

// record queues a record. The mutex is held.
func (o *origins) record(k masticcall.StreamKey, software string, deadline time.Time) *originRecord {
	if r, ok := o.records[k]; ok && r.software == software {
		r.ended = false
		if deadline.After(r.deadline) {
			r.deadline = deadline
			o.queue(k, r)
		}
		return r
	}
	r := &originRecord{software: software, done: make(chan struct{}), deadline: deadline}
	if len(o.records) >= maxOrigins {
		r.err = masticerror.New(masticerror.KindOverloaded, "this host has as many streams to record as it may")
		close(r.done)
		return r
	}
	o.records[k] = r
	o.queue(k, r)
	return r
}

// queue queues the record of a key, unless it is queued or on its way. The mutex is held.
func (o *origins) queue(k masticcall.StreamKey, r *originRecord) {
	if !r.queued {
		r.queued = true
		o.unsent = append(o.unsent, k)
		o.signal()
	}
}

// Wait waits until all records are acknowledged.
func (all originRecords) Wait(ctx context.Context) error {
	for _, r := range all {
		select {
		case <-r.done:
			if r.err != nil {
				return r.err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// End states that this host does not serve a stream any more. Its record stays until its deadline, unless it is to be forgotten.
func (o *origins) End(keys masticcall.StreamKeys, forget bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, k := range keys {
		r, ok := o.records[k]
		if ok && r.queued && !forget {
			// It is still to be written.
			r.ended = true
			continue
		}
		delete(o.records, k)
		if forget && len(o.ended) < maxEndedOrigins {
			// Without a report the record is dropped at its deadline.
			o.ended = append(o.ended, k)
		}
	}
}

// signal wakes the sender.
func (o *origins) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run sends batches, beside other goroutines that run it.
func (o *origins) run(ctx context.Context) {
	defer o.agent.running.Done()
	ticker := time.NewTicker(originIdleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-o.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			b := o.take(masticclock.Now())
			if b == nil {
				break
			}
			if !o.send(ctx, b) {
				sleep(ctx, o.agent.retryDelay)
			}
		}
	}
}

// take removes the next batch from what is queued, nil if nothing is that may be sent now.
func (o *origins) take(now time.Time) *pendingOriginBatch {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	b := &pendingOriginBatch{records: map[masticcall.StreamKey]*originRecord{}}
	var due []masticcall.StreamKey
	due, o.unsent = o.idle(o.unsent)
	for _, k := range due {
		r, ok := o.records[k]
		if ok && r.ended && !now.Before(r.deadline) {
			delete(o.records, k)
			continue
		}
		if ok {
			b.records[k], r.written = r, r.deadline
		}
	}
	n := min(len(o.asked), originBatch)
	for _, q := range o.asked[:n] {
		if q.ctx.Err() == nil {
			b.asked = append(b.asked, q)
		}
	}
	o.asked = append([]*originQuestion(nil), o.asked[n:]...)
	if len(b.records)+len(b.asked) > 0 || !now.Before(o.idleAt) {
		b.ended = o.takeEnded()
		o.idleAt = now.Add(max(originIdleInterval, time.Duration(o.agent.View().HostCount())*originIdlePerHost))
	}
	if len(b.records)+len(b.ended)+len(b.asked) == 0 {
		return nil
	}
	if len(b.records) > 0 {
		o.tokens = max(-maxOriginTokens, o.tokens-1)
	}
	o.sequence++
	o.underWay[o.sequence] = true
	for k := range b.records {
		o.busy[k] = true
	}
	for _, k := range b.ended {
		o.busy[k] = true
	}
	b.command = b.encode(now)
	b.command.Host, b.command.Incarnation, b.command.Sequence = o.agent.host, o.agent.incarnation, o.sequence
	b.command.Oldest = slices.Min(slices.Collect(maps.Keys(o.underWay)))
	return b
}

// takeEnded removes the keys of records to drop. Those of streams that this host serves again are left out. The mutex is held.
func (o *origins) takeEnded() []masticcall.StreamKey {
	n := min(len(o.ended), originBatch)
	var due []masticcall.StreamKey
	for _, k := range o.ended[:n] {
		if _, served := o.records[k]; !served && !o.busy[k] {
			due = append(due, k)
		}
	}
	o.ended = append([]masticcall.StreamKey(nil), o.ended[n:]...)
	return due
}

// idle splits keys into those of the next batch and the rest, which are too many or in a batch under way. The
// mutex is held.
func (o *origins) idle(keys []masticcall.StreamKey) (due, rest []masticcall.StreamKey) {
	for _, k := range keys {
		if o.busy[k] || len(due) >= originBatch {
			rest = append(rest, k)
			continue
		}
		due = append(due, k)
	}
	return due, rest
}

// send sends a batch and reports whether it was answered. Otherwise all that it holds is queued again.
func (o *origins) send(ctx context.Context, b *pendingOriginBatch) bool {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	answer, err := o.agent.commit(ctx, &masticproto.Command{Kind: &masticproto.Command_Origins{Origins: b.command}}, originAttemptTimeout)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.release(b)
	now := masticclock.Now()
	if lost := err != nil; lost != !o.failedUntil.IsZero() {
		o.agent.log.WithField("lost", lost).WithField("cause", err).WithField("begun", len(b.records)).WithField("asked", len(b.asked)).
			Warn("records of streams at the control group")
	}
	o.failedUntil = time.Time{}
	if err != nil {
		o.failedUntil = now.Add(originCooldown)
		o.requeue(b)
		return false
	}
	o.acknowledge(now, b, answer)
	return true
}
