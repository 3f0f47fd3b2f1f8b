package masticmeasure

import (
	"cmp"
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticroute"
)

// event is an entry of the simulation's event queue.
type event interface {
	// fire applies the event at its time.
	fire(m *simulation)
}

type queued struct {
	at       time.Duration
	sequence int
	event    event
}

// eventQueue is a heap ordered by time, then by sequence number.
type eventQueue []queued

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(queued)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// callArrival is the arrival of a caller's request at an entry host.
type callArrival struct{ call *call }

func (e *callArrival) fire(m *simulation) {
	h := m.hostFor(e.call)
	if h == nil {
		m.scheduleAfter(resendDelay, e)
		return
	}
	m.submit(e.call, h)
}

// jobArrival is the arrival of an attempt at its engine.
type jobArrival struct {
	job        *job
	engine     *engine
	generation int
}

func (e *jobArrival) fire(m *simulation) {
	c := e.job.call
	if c.job != e.job || c.host.generation != e.generation {
		return
	}
	if !e.engine.up {
		m.scheduleAfter(m.deployment.hopDelay, &connectionError{e.job, e.engine})
		return
	}
	e.engine.submit(e.job)
	m.startNextPiece(e.engine)
}

// connectionError is the arrival of a connection error at the host of an attempt.
type connectionError struct {
	job    *job
	engine *engine
}

func (e *connectionError) fire(m *simulation) { m.failAttempt(e.job, e.engine) }

// pieceFinished is the end of one piece of prefill.
type pieceFinished struct {
	job         *job
	engine      *engine
	incarnation int
}

func (e *pieceFinished) fire(m *simulation) {
	if e.engine.incarnation != e.incarnation {
		return
	}
	e.engine.busy = false
	if e.engine.finishPiece(e.job) && e.job.call.job == e.job {
		e.engine.removePrefill(e.job)
		e.engine.decoding = append(e.engine.decoding, e.job)
		m.tokenCounts.addPrefill(m.elapsed, e.job)
		m.scheduleAfter(firstTokenDelay+m.deployment.hopDelay, &firstTokenArrival{e.job, e.job.call.host.generation})
		m.scheduleAfter(firstTokenDelay+decodeDuration(e.job), &decodeFinished{e.job, e.engine, e.incarnation})
	}
	m.startNextPiece(e.engine)
}

func decodeDuration(j *job) time.Duration {
	return time.Duration(j.call.arrival.request(epoch).OutputTokens) * tokenInterval
}

// firstTokenArrival is the arrival of a first token at the host.
type firstTokenArrival struct {
	job        *job
	generation int
}

func (e *firstTokenArrival) fire(m *simulation) {
	c := e.job.call
	if c.job != e.job || c.host.generation != e.generation {
		return
	}
	if c.firstTokenAt == 0 {
		c.firstTokenAt = m.elapsed + m.deployment.hopDelay
	}
	c.host.policy.FirstToken(m.currentTime(), c.ticket)
	m.handleOutcomes(c.host)
}

// decodeFinished is the end of a stream at its engine.
type decodeFinished struct {
	job         *job
	engine      *engine
	incarnation int
}

func (e *decodeFinished) fire(m *simulation) {
	if e.engine.incarnation != e.incarnation || !e.engine.stopDecoding(e.job) {
		return
	}
	m.scheduleAfter(m.deployment.hopDelay, &streamFinished{e.job, e.engine.incarnationName(), e.job.call.host.generation})
	m.startNextPiece(e.engine)
}

// streamFinished is the end of a stream at its host.
type streamFinished struct {
	job         *job
	incarnation string
	generation  int
}

func (e *streamFinished) fire(m *simulation) {
	c := e.job.call
	if c.job != e.job || c.host.generation != e.generation {
		return
	}
	c.host.policy.Done(m.currentTime(), c.ticket, masticcall.Result{
		ServerIncarnation: e.incarnation,
		CachedTokens:      countTokens(c.arrival.pieces[:e.job.cachedPieces]),
		OutputTokens:      c.arrival.request(epoch).OutputTokens,
	})
	delete(c.host.calls, c.ticket)
	m.handleOutcomes(c.host)
}

// pollTimer is the timer that a host's policy requested with NextPoll.
type pollTimer struct {
	host       *host
	generation int
}

func (e *pollTimer) fire(m *simulation) {
	if !e.host.up || e.host.generation != e.generation {
		return
	}
	e.host.policy.Poll(m.currentTime())
	m.handleOutcomes(e.host)
}

// reportTick periodically samples an engine's load and sends it to the hosts.
type reportTick struct{ engine *engine }

func (e *reportTick) fire(m *simulation) {
	if e.engine.up {
		m.scheduleAfter(reportDelay, &reportArrival{e.engine.report(m.currentTime())})
	}
	m.scheduleAfter(cmp.Or(m.scenario.reportInterval, defaultReportInterval), e)
}

// reportArrival is the arrival of a load report at all hosts.
type reportArrival struct{ report masticroute.LoadReport }

func (e *reportArrival) fire(m *simulation) {
	for _, h := range m.hosts {
		if h.up {
			h.policy.Report(m.currentTime(), e.report)
			m.handleOutcomes(h)
		}
	}
}

// cacheEventTick periodically sends an engine's cache events to the hosts. Each host
// loses a batch with probability cacheEventLoss.
type cacheEventTick struct{ engine *engine }

func (e *cacheEventTick) fire(m *simulation) {
	b := e.engine.drainCacheEvents()
	for _, h := range m.hosts {
		if len(b.Events) > 0 && m.random.Float64() >= m.scenario.cacheEventLoss {
			m.scheduleAfter(cacheEventDelay, &cacheEventsArrival{h, e.engine.name, e.engine.incarnationName(), b})
		}
	}
	m.scheduleAfter(cacheEventInterval, e)
}

// cacheEventsArrival is the arrival of a batch of cache events at a host.
type cacheEventsArrival struct {
	host                *host
	server, incarnation string
	batch               masticcache.Batch
}

func (e *cacheEventsArrival) fire(m *simulation) {
	if e.host.up {
		e.host.policy.Events(m.currentTime(), e.server, e.incarnation, e.batch)
	}
}

// probeTick periodically probes all engines from all hosts.
type probeTick struct{}

func (e *probeTick) fire(m *simulation) {
	for _, h := range m.hosts {
		for _, g := range m.engines {
			if h.up {
				h.policy.Probe(m.currentTime(), g.name, g.incarnationName(), g.up)
			}
		}
		if h.up {
			m.handleOutcomes(h)
		}
	}
	m.scheduleAfter(probeInterval, e)
}
