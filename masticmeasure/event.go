package masticmeasure

import (
	"cmp"
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticroute"
)

// event is something that happens at a time.
type event interface {
	fire(m *simulation)
}

type queued struct {
	at    time.Duration
	order int
	event event
}

// eventQueue is a heap by time and order.
type eventQueue []queued

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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

// arrive is a caller's request that reaches an entry host.
type arrive struct{ call *call }

func (e *arrive) fire(m *simulation) {
	h := m.hostFor(e.call)
	if h == nil {
		m.after(resendAfter, e)
		return
	}
	m.submit(e.call, h)
}

// reach is an attempt that reaches its engine.
type reach struct {
	job        *job
	engine     *engine
	generation int
}

func (e *reach) fire(m *simulation) {
	c := e.job.call
	if c.job != e.job || c.host.generation != e.generation {
		return
	}
	if !e.engine.up {
		m.after(m.deployment.hop, &broken{e.job, e.engine})
		return
	}
	e.engine.submit(e.job)
	m.pump(e.engine)
}

// broken is a connection error that reaches the host of an attempt.
type broken struct {
	job    *job
	engine *engine
}

func (e *broken) fire(m *simulation) { m.fail(e.job, e.engine) }

// computed is the end of one piece of prefill.
type computed struct {
	job         *job
	engine      *engine
	incarnation int
}

func (e *computed) fire(m *simulation) {
	if e.engine.incarnation != e.incarnation {
		return
	}
	e.engine.busy = false
	if e.engine.finish(e.job) && e.job.call.job == e.job {
		e.engine.remove(e.job)
		e.engine.decoding = append(e.engine.decoding, e.job)
		m.tally.prefilled(m.now, e.job)
		m.after(firstTokenTime+m.deployment.hop, &firstToken{e.job, e.job.call.host.generation})
		m.after(firstTokenTime+decodeTime(e.job), &decoded{e.job, e.engine, e.incarnation})
	}
	m.pump(e.engine)
}

func decodeTime(j *job) time.Duration {
	return time.Duration(j.call.arrival.request(epoch).OutputTokens) * tokenTime
}

// firstToken is a first token that reaches the host.
type firstToken struct {
	job        *job
	generation int
}

func (e *firstToken) fire(m *simulation) {
	c := e.job.call
	if c.job != e.job || c.host.generation != e.generation {
		return
	}
	if c.firstTokenAt == 0 {
		c.firstTokenAt = m.now + m.deployment.hop
	}
	c.host.policy.FirstToken(m.time(), c.ticket)
	m.settle(c.host)
}

// decoded is the end of a stream at its engine.
type decoded struct {
	job         *job
	engine      *engine
	incarnation int
}

func (e *decoded) fire(m *simulation) {
	if e.engine.incarnation != e.incarnation || !e.engine.release(e.job) {
		return
	}
	m.after(m.deployment.hop, &finished{e.job, e.engine.incarnationName(), e.job.call.host.generation})
	m.pump(e.engine)
}

// finished is the end of a stream at its host.
type finished struct {
	job         *job
	incarnation string
	generation  int
}

func (e *finished) fire(m *simulation) {
	c := e.job.call
	if c.job != e.job || c.host.generation != e.generation {
		return
	}
	c.host.policy.Done(m.time(), c.ticket, masticcall.Result{
		ServerIncarnation: e.incarnation,
		CachedTokens:      tokensOf(c.arrival.pieces[:e.job.cached]),
		OutputTokens:      c.arrival.request(epoch).OutputTokens,
	})
	delete(c.host.calls, c.ticket)
	m.settle(c.host)
}

// poll is a host's timer.
type poll struct {
	host       *host
	generation int
}

func (e *poll) fire(m *simulation) {
	if !e.host.up || e.host.generation != e.generation {
		return
	}
	e.host.policy.Poll(m.time())
	m.settle(e.host)
}

// reportTick takes an engine's load.
type reportTick struct{ engine *engine }

func (e *reportTick) fire(m *simulation) {
	if e.engine.up {
		m.after(reportLag, &report{e.engine.report(m.time())})
	}
	m.after(cmp.Or(m.scenario.reportEvery, reportInterval), e)
}

// report is a load report that reaches all hosts.
type report struct{ report masticroute.Report }

func (e *report) fire(m *simulation) {
	for _, h := range m.hosts {
		if h.up {
			h.policy.Report(m.time(), e.report)
			m.settle(h)
		}
	}
}

// eventTick takes an engine's cache events.
type eventTick struct{ engine *engine }

func (e *eventTick) fire(m *simulation) {
	b := e.engine.takeEvents()
	for _, h := range m.hosts {
		if len(b.Events) > 0 && m.random.Float64() >= m.scenario.loss {
			m.after(eventLag, &events{h, e.engine.name, e.engine.incarnationName(), b})
		}
	}
	m.after(eventInterval, e)
}

// events is a batch of cache events that reaches a host.
type events struct {
	host                *host
	server, incarnation string
	batch               masticcache.Batch
}

func (e *events) fire(m *simulation) {
	if e.host.up {
		e.host.policy.Events(m.time(), e.server, e.incarnation, e.batch)
	}
}

// probeTick probes all engines from all hosts.
type probeTick struct{}

func (e *probeTick) fire(m *simulation) {
	for _, h := range m.hosts {
		for _, g := range m.engines {
			if h.up {
				h.policy.Probe(m.time(), g.name, g.incarnationName(), g.up)
			}
		}
		if h.up {
			m.settle(h)
		}
	}
	m.after(probeInterval, e)
}
