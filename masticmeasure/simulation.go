package masticmeasure

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"masticladder/masticaddress"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

const (
	// resendDelay is how long a caller waits after a failed connection before it resends.
	resendDelay = 50 * time.Millisecond
	// drainTimeout is the longest time that a run continues after the end of the traffic.
	drainTimeout = 120 * time.Second
)

// epoch is the injected time at which each run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// call is the state of one request through all its attempts.
type call struct {
	arrival *arrival
	host    *host
	ticket  masticschedule.Ticket
	attempt int
	avoid   []string
	// firstTokenAt is when the caller receives the first token, zero while there is none.
	firstTokenAt time.Duration
	refusalKind  masticerror.Kind
	job          *job
	engine       *engine
}

// host is one entry host.
type host struct {
	index      int
	policy     policy
	up         bool
	generation int
	lastTicket masticschedule.Ticket
	calls      map[masticschedule.Ticket]*call
	// pollAt is the time of the last scheduled poll, zero for none.
	pollAt      time.Time
	lookUps     int64
	assignments int64
}

// simulation is one run of one policy in one scenario.
type simulation struct {
	deployment deployment
	scenario   scenario
	build      func(seed uint64, v masticview.View) policy
	seed       uint64
	view       masticview.View
	addresses  *masticaddress.Addresses
	// elapsed is the injected time since epoch.
	elapsed     time.Duration
	queue       eventQueue
	sequence    int
	random      *rand.Rand
	engines     []*engine
	hosts       []*host
	calls       []*call
	tokenCounts *tokenCounts
}

func newSimulation(seed uint64, d deployment, s scenario, p namedPolicy) *simulation {
	m := &simulation{
		deployment: d, scenario: s, build: p.build, seed: seed, view: d.view(),
		random: rand.New(rand.NewPCG(seed, 99)), tokenCounts: newTokenCounts(d),
	}
	m.addresses = masticaddress.New(m.currentView)
	for i := range d.engines {
		tokensPerSecond := prefillTokensPerSecond[i%len(prefillTokensPerSecond)]
		if i < s.slowEngines {
			tokensPerSecond /= 10
		}
		m.engines = append(m.engines, newEngine(engineName(i), tokensPerSecond))
	}
	for i := range d.hosts {
		h := &host{index: i}
		m.hosts = append(m.hosts, h)
		m.startHost(h)
	}
	return m
}

func (m *simulation) currentView() masticview.View { return m.view }

func (m *simulation) startHost(h *host) {
	h.generation++
	h.up = true
	h.pollAt = time.Time{}
	h.calls = map[masticschedule.Ticket]*call{}
	h.policy = m.build(m.seed+uint64(h.index*100+h.generation), m.view)
}

// currentTime returns the injected time.
func (m *simulation) currentTime() time.Time { return epoch.Add(m.elapsed) }

// run simulates the arrivals until no event is left or drainTimeout after the end of the traffic.
func (m *simulation) run(arrivals []*arrival) {
	for _, a := range arrivals {
		c := &call{arrival: a}
		m.calls = append(m.calls, c)
		m.scheduleAt(a.at+m.deployment.hopDelay, &callArrival{c})
	}
	m.scheduleTicksAndFault()
	for m.queue.Len() > 0 && m.elapsed < m.scenario.trafficEnd+drainTimeout {
		e := heap.Pop(&m.queue).(queued)
		m.elapsed = e.at
		e.event.fire(m)
	}
}

// scheduleTicksAndFault schedules the recurring events and the scenario's fault.
func (m *simulation) scheduleTicksAndFault() {
	for i, e := range m.engines {
		offset := time.Duration(i) * time.Millisecond
		m.scheduleAt(defaultReportInterval+offset, &reportTick{e})
		m.scheduleAt(cacheEventInterval+offset, &cacheEventTick{e})
	}
	m.scheduleAt(probeInterval, &probeTick{})
	switch {
	case m.scenario.engineCrash:
		m.scheduleAt(faultAt, &crashEngine{m.engines[len(m.engines)-1]})
	case m.scenario.hostCrash:
		m.scheduleAt(faultAt, &crashHost{m.busiestHost(), hostDowntime})
	case m.scenario.allHostsCrash:
		for _, h := range m.hosts {
			m.scheduleAt(faultAt, &crashHost{h, allHostsDowntime})
		}
	}
}

func (m *simulation) scheduleAt(at time.Duration, e event) {
	m.sequence++
	heap.Push(&m.queue, queued{at, m.sequence, e})
}

func (m *simulation) scheduleAfter(delay time.Duration, e event) { m.scheduleAt(m.elapsed+delay, e) }

// handleOutcomes starts the attempts and records the refusals that h's policy has decided.
func (m *simulation) handleOutcomes(h *host) {
	for _, o := range h.policy.Outcomes() {
		c := h.calls[o.Ticket]
		if o.Err != nil {
			c.refusalKind = o.Err.Kind()
			delete(h.calls, o.Ticket)
			continue
		}
		h.assignments++
		h.lookUps += int64(o.Decision.LookUps)
		m.startAttempt(c, o)
	}
	m.schedulePoll(h)
}

func (m *simulation) schedulePoll(h *host) {
	at := h.policy.NextPoll(m.currentTime())
	if at.IsZero() || h.pollAt.After(m.currentTime()) {
		return
	}
	h.pollAt = at
	m.scheduleAt(at.Sub(epoch), &pollTimer{h, h.generation})
}

// startAttempt sends c to the engine that was assigned to it.
func (m *simulation) startAttempt(c *call, o masticschedule.Outcome) {
	for _, e := range m.engines {
		if e.name != o.Server.Name {
			continue
		}
		m.sequence++
		c.engine = e
		c.job = &job{call: c, attempt: c.attempt, priority: masticschedule.Priority(c.arrival.class), sequence: m.sequence, cachedPieces: -1}
		m.scheduleAfter(m.deployment.hopDelay, &jobArrival{c.job, e, c.host.generation})
	}
}

// failAttempt ends the attempt of j. The host retries on another engine unless the first
// token was already delivered.
func (m *simulation) failAttempt(j *job, e *engine) {
	c := j.call
	if c.job != j || !c.host.up {
		return
	}
	h := c.host
	h.policy.Done(m.currentTime(), c.ticket, masticcall.Result{
		Failure: string(masticerror.KindBackendFailed), ServerEnded: true,
	})
	delete(h.calls, c.ticket)
	m.handleOutcomes(h)
	if c.firstTokenAt > 0 {
		return
	}
	c.attempt++
	c.avoid = append(c.avoid, e.name)
	m.submit(c, h)
}

func (m *simulation) submit(c *call, h *host) {
	h.lastTicket++
	c.host, c.ticket, c.job = h, h.lastTicket, nil
	h.calls[c.ticket] = c
	r := c.arrival.request(epoch.Add(c.arrival.at))
	r.Attempt, r.Avoid = c.attempt, c.avoid
	h.policy.Submit(m.currentTime(), c.ticket, r, c.arrival.prompt)
	m.handleOutcomes(h)
}

// hostFor returns the entry host that a caller connects to: one drawn by weight from its
// address list or, if that is down, the next one in the list; nil if all are down.
func (m *simulation) hostFor(c *call) *host {
	list, _ := m.addresses.For(workspaceName(c.arrival.workspace), m.currentTime())
	total := int64(0)
	for _, a := range list {
		total += a.Weight
	}
	at := c.arrival.draw * float64(total)
	start := 0
	for ; start < len(list)-1 && at >= float64(list[start].Weight); start++ {
		at -= float64(list[start].Weight)
	}
	for i := range list {
		for n, h := range m.hosts {
			if h.up && hostAddress(n) == list[(start+i)%len(list)].Address {
				return h
			}
		}
	}
	return nil
}

// busiestHost returns the first host in the address list of the largest workspace.
func (m *simulation) busiestHost() *host {
	list, _ := m.addresses.For(workspaceName(0), m.currentTime())
	for i, h := range m.hosts {
		if hostAddress(i) == list[0].Address {
			return h
		}
	}
	return m.hosts[0]
}

// startNextPiece starts the engine's next piece of prefill if it is idle.
func (m *simulation) startNextPiece(e *engine) {
	if !e.up || e.busy {
		return
	}
	j := e.nextJob()
	if j == nil {
		return
	}
	e.busy = true
	m.scheduleAfter(e.startPiece(j), &pieceFinished{j, e, e.incarnation})
}
