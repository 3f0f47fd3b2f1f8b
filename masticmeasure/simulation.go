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
	// resendAfter is how long a caller waits before it sends again after a broken connection.
	resendAfter = 50 * time.Millisecond
	// drainSpan is how long after the last arrival the run goes on.
	drainSpan = 120 * time.Second
)

// epoch is the time at which each run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// call is the course of one request.
type call struct {
	arrival *arrival
	host    *host
	ticket  masticschedule.Ticket
	attempt int
	avoid   []string
	// firstTokenAt is zero until the caller has its first token.
	firstTokenAt time.Duration
	refused      masticerror.Kind
	job          *job
	engine       *engine
}

// host is one entry host.
type host struct {
	index      int
	policy     policy
	up         bool
	generation int
	tickets    masticschedule.Ticket
	calls      map[masticschedule.Ticket]*call
	// pollAt is when the next poll is set, zero for none.
	pollAt  time.Time
	lookUps int64
	decided int64
}

// simulation is one run of one policy in one scenario.
type simulation struct {
	deployment deployment
	scenario   scenario
	build      func(seed uint64, v masticview.View) policy
	seed       uint64
	view       masticview.View
	addresses  *masticaddress.Addresses
	now        time.Duration
	queue      eventQueue
	order      int
	random     *rand.Rand
	engines    []*engine
	hosts      []*host
	calls      []*call
	tally      *tally
}

func newSimulation(seed uint64, d deployment, s scenario, p namedPolicy) *simulation {
	m := &simulation{
		deployment: d, scenario: s, build: p.build, seed: seed, view: d.view(),
		random: rand.New(rand.NewPCG(seed, 99)), tally: newTally(d),
	}
	m.addresses = masticaddress.New(m.currentView)
	for i := range d.engines {
		speed := prefillSpeeds[i%len(prefillSpeeds)]
		if i < s.slow {
			speed /= 10
		}
		m.engines = append(m.engines, newEngine(engineName(i), speed))
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

// time returns the injected time.
func (m *simulation) time() time.Time { return epoch.Add(m.now) }

// run plays the arrivals to their ends.
func (m *simulation) run(arrivals []*arrival) {
	for _, a := range arrivals {
		c := &call{arrival: a}
		m.calls = append(m.calls, c)
		m.at(a.at+m.deployment.hop, &arrive{c})
	}
	m.schedule()
	for m.queue.Len() > 0 && m.now < m.scenario.until+drainSpan {
		e := heap.Pop(&m.queue).(queued)
		m.now = e.at
		e.event.fire(m)
	}
}

// schedule sets the recurring events and the scenario's fault.
func (m *simulation) schedule() {
	for i, e := range m.engines {
		offset := time.Duration(i) * time.Millisecond
		m.at(reportInterval+offset, &reportTick{e})
		m.at(eventInterval+offset, &eventTick{e})
	}
	m.at(probeInterval, &probeTick{})
	switch {
	case m.scenario.engineCrash:
		m.at(faultAt, &crashEngine{m.engines[len(m.engines)-1]})
	case m.scenario.hostCrash:
		m.at(faultAt, &crashHost{m.busiestHost(), hostDown})
	case m.scenario.herd:
		for _, h := range m.hosts {
			m.at(faultAt, &crashHost{h, herdDown})
		}
	}
}

func (m *simulation) at(at time.Duration, e event) {
	m.order++
	heap.Push(&m.queue, queued{at, m.order, e})
}

func (m *simulation) after(d time.Duration, e event) { m.at(m.now+d, e) }

// settle handles the outcomes that a policy has ready.
func (m *simulation) settle(h *host) {
	for _, o := range h.policy.Outcomes() {
		c := h.calls[o.Ticket]
		if o.Err != nil {
			c.refused = o.Err.Kind()
			delete(h.calls, o.Ticket)
			continue
		}
		h.decided++
		h.lookUps += int64(o.Decision.LookUps)
		m.send(c, o)
	}
	m.setPoll(h)
}

func (m *simulation) setPoll(h *host) {
	at := h.policy.Wake(m.time())
	if at.IsZero() || h.pollAt.After(m.time()) {
		return
	}
	h.pollAt = at
	m.at(at.Sub(epoch), &poll{h, h.generation})
}

// send starts the attempt that was assigned to c.
func (m *simulation) send(c *call, o masticschedule.Outcome) {
	for _, e := range m.engines {
		if e.name != o.Server.Name {
			continue
		}
		m.order++
		c.engine = e
		c.job = &job{call: c, attempt: c.attempt, priority: masticschedule.Priority(c.arrival.class), order: m.order, cached: -1}
		m.after(m.deployment.hop, &reach{c.job, e, c.host.generation})
	}
}

// fail ends the attempt of j and lets the host try again elsewhere.
func (m *simulation) fail(j *job, e *engine) {
	c := j.call
	if c.job != j || !c.host.up {
		return
	}
	h := c.host
	h.policy.Done(m.time(), c.ticket, masticcall.Result{
		Failure: string(masticerror.KindBackendFailed), ServerEnded: true,
	})
	delete(h.calls, c.ticket)
	m.settle(h)
	if c.firstTokenAt > 0 {
		return
	}
	c.attempt++
	c.avoid = append(c.avoid, e.name)
	m.submit(c, h)
}

func (m *simulation) submit(c *call, h *host) {
	h.tickets++
	c.host, c.ticket, c.job = h, h.tickets, nil
	h.calls[c.ticket] = c
	r := c.arrival.request(epoch.Add(c.arrival.at))
	r.Attempt, r.Avoid = c.attempt, c.avoid
	h.policy.Submit(m.time(), c.ticket, r, c.arrival.prompt)
	m.settle(h)
}

// hostFor returns the entry host that a caller connects to, or nil when all of its list are down.
func (m *simulation) hostFor(c *call) *host {
	list, _ := m.addresses.For(workspaceName(c.arrival.workspace), m.time())
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

// busiestHost returns the host that the largest workspace uses first.
func (m *simulation) busiestHost() *host {
	list, _ := m.addresses.For(workspaceName(0), m.time())
	for i, h := range m.hosts {
		if hostAddress(i) == list[0].Address {
			return h
		}
	}
	return m.hosts[0]
}

// pump lets the engine begin its next piece of work.
func (m *simulation) pump(e *engine) {
	if !e.up || e.busy {
		return
	}
	j := e.pick()
	if j == nil {
		return
	}
	e.busy = true
	m.after(e.begin(j), &computed{j, e, e.incarnation})
}
