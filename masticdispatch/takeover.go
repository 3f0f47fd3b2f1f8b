package masticdispatch

import (
	"sync"

	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticschedule"
	"masticladder/masticshard"
	"masticladder/masticview"
)

// LoadReporter sends this host's running work to the coordinator of a shard.
type LoadReporter interface {
	// ReportLoad does not block. The report may be lost.
	ReportLoad(peer string, r masticroute.PeerReport)
}

// WithLoadReporter makes the dispatcher report its running work to a coordinator that takes a shard over from
// another one, which otherwise takes engines in use for idle ones.
func WithLoadReporter(r LoadReporter) Option {
	return func(d *Dispatcher) { d.takeover.reporter = r }
}

// maxReportedPrompts bounds the prompts in one report.
const maxReportedPrompts = 64

// takeover is what this host tells coordinators that take shards over.
type takeover struct {
	reporter LoadReporter

	mutex sync.Mutex
	// sent are this host's running requests on engines of shards.
	sent map[masticschedule.Ticket]sentRequest
	// last are the peer addresses of the coordinators that this host asked last, by pool and shard.
	last map[shardKey]string
}

type shardKey struct {
	pool   string
	number int
}

// sentRequest is a running request, and the coordinator that assigned it, empty for none.
type sentRequest struct {
	coordinator, server string
	quick, started      bool
	uncached, tokens    float64
	pieces              []masticprompt.Piece
}

func newTakeover() takeover {
	return takeover{sent: map[masticschedule.Ticket]sentRequest{}, last: map[shardKey]string{}}
}

// add records a request that is sent to an engine.
func (t *takeover) add(a *assignment) {
	c := &a.outcome.Decision
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sent[a.outcome.Ticket] = sentRequest{
		coordinator: a.coordinator, server: a.outcome.Server.Name, quick: a.class == masticview.ClassQuick,
		uncached: float64(c.Uncached()), tokens: float64(c.Tokens), pieces: c.Pieces,
	}
}

// start records the first token of a request.
func (t *takeover) start(ticket masticschedule.Ticket) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if s, ok := t.sent[ticket]; ok {
		s.started = true
		t.sent[ticket] = s
	}
}

func (t *takeover) remove(ticket masticschedule.Ticket) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.sent, ticket)
}

// changed records that a coordinator is asked for a shard, and reports whether another one was asked before.
func (t *takeover) changed(pool string, shard masticshard.Shard, peer string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key := shardKey{pool, shard.Number}
	former := t.last[key]
	t.last[key] = peer
	return former != "" && former != peer
}

// reportFor returns the running requests that the coordinator has not assigned itself.
func (t *takeover) reportFor(host, peer string) masticroute.PeerReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	by := map[string]*masticroute.ServerLoad{}
	r := masticroute.PeerReport{Host: host}
	for _, s := range t.sent {
		if s.coordinator == peer {
			continue
		}
		l, ok := by[s.server]
		if !ok {
			l = &masticroute.ServerLoad{Server: s.server}
			by[s.server] = l
		}
		s.addTo(l)
		if s.tokens >= immediateReportTokens && len(r.Touches) < maxReportedPrompts {
			r.Touches = append(r.Touches, masticroute.Touch{Server: s.server, Pieces: s.pieces})
		}
	}
	for _, l := range by {
		r.Servers = append(r.Servers, *l)
	}
	return r
}

func (s sentRequest) addTo(l *masticroute.ServerLoad) {
	l.Running++
	l.HeldTokens += s.tokens
	if s.started {
		return
	}
	l.Tokens += s.uncached
	if s.quick {
		l.QuickTokens += s.uncached
	}
}

// reportTakeover reports this host's running work to a coordinator that it asks instead of another one.
func (d *Dispatcher) reportTakeover(pool string, s masticshard.Shard, h masticshard.Host) {
	if d.takeover.reporter == nil || !d.takeover.changed(pool, s, h.Peer) {
		return
	}
	r := d.takeover.reportFor(d.host, h.Peer)
	d.log.WithField("shard", s.Number).WithField("model", pool).WithField("coordinator", h.Name).WithField("servers", len(r.Servers)).Info("another coordinator is asked")
	switch {
	case len(r.Servers) == 0 || h.Name == d.host:
	default:
		d.takeover.reporter.ReportLoad(h.Peer, r)
	}
}
