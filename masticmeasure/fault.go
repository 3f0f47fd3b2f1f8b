package masticmeasure

import "time"

// crashEngine ends an engine's incarnation.
type crashEngine struct{ engine *engine }

func (e *crashEngine) fire(m *simulation) {
	for _, j := range e.engine.crash() {
		m.after(m.deployment.hop, &broken{j, e.engine})
	}
	m.after(engineDown, &startEngine{e.engine})
}

// startEngine brings a crashed engine back, with an empty cache.
type startEngine struct{ engine *engine }

func (e *startEngine) fire(*simulation) { e.engine.up = true }

// crashHost ends an entry host; its callers send again elsewhere.
type crashHost struct {
	host *host
	down time.Duration
}

func (e *crashHost) fire(m *simulation) {
	e.host.up = false
	for t := range e.host.tickets {
		if c, ok := e.host.calls[t+1]; ok {
			m.abandon(c)
		}
	}
	m.after(e.down, &startHost{e.host})
}

// abandon takes a crashed host's call off its engine and lets its caller send again.
func (m *simulation) abandon(c *call) {
	if c.job != nil {
		c.engine.remove(c.job)
		c.engine.release(c.job)
		c.job = nil
	}
	if c.firstTokenAt == 0 {
		m.after(resendAfter, &arrive{c})
	}
}

// startHost brings a host back, knowing nothing but the view.
type startHost struct{ host *host }

func (e *startHost) fire(m *simulation) { m.startHost(e.host) }
