package masticmeasure

import "time"

// crashEngine takes an engine down for engineDowntime and fails its attempts.
type crashEngine struct{ engine *engine }

func (e *crashEngine) fire(m *simulation) {
	for _, j := range e.engine.crash() {
		m.scheduleAfter(m.deployment.hopDelay, &connectionError{j, e.engine})
	}
	m.scheduleAfter(engineDowntime, &restartEngine{e.engine})
}

// restartEngine brings a crashed engine back up, with an empty cache.
type restartEngine struct{ engine *engine }

func (e *restartEngine) fire(*simulation) { e.engine.up = true }

// crashHost takes an entry host down; callers without a first token resend to another host.
type crashHost struct {
	host     *host
	downtime time.Duration
}

func (e *crashHost) fire(m *simulation) {
	e.host.up = false
	for t := range e.host.lastTicket {
		if c, ok := e.host.calls[t+1]; ok {
			m.abortCall(c)
		}
	}
	m.scheduleAfter(e.downtime, &restartHost{e.host})
}

// abortCall removes a crashed host's call from its engine. The caller resends it if it
// has no first token yet.
func (m *simulation) abortCall(c *call) {
	if c.job != nil {
		c.engine.removePrefill(c.job)
		c.engine.stopDecoding(c.job)
		c.job = nil
	}
	if c.firstTokenAt == 0 {
		m.scheduleAfter(resendDelay, &callArrival{c})
	}
}

// restartHost brings a crashed host back up with a new policy, which has the view but
// no reports or cache events.
type restartHost struct{ host *host }

func (e *restartHost) fire(m *simulation) { m.startHost(e.host) }
