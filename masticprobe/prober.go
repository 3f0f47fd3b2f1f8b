// Package masticprobe asks backend servers for their load at a bounded rate, so
// that the traffic for it stays within the host's share for control.
package masticprobe

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"masticladder/masticroute"
	"masticladder/masticview"
)

// Defaults of a Prober.
const (
	// DefaultRate is the number of probes a second over all backend servers.
	DefaultRate = 8
	// DefaultTimeout bounds one probe.
	DefaultTimeout = 500 * time.Millisecond
	// maxReportBytes bounds a load report.
	maxReportBytes = 64 << 10
)

// Sink takes what probes find.
type Sink interface {
	Report(r masticroute.Report)
	Probe(server, incarnation string, alive bool)
}

// Prober asks one backend server after the other. Run is an actor.
type Prober struct {
	sink    Sink
	client  *http.Client
	turn    turn
	timeout time.Duration
	views   chan masticview.View
	stopped chan struct{}
}

// Option sets a part of a Prober.
type Option func(*Prober)

// WithRate sets the number of probes a second.
func WithRate(perSecond int) Option {
	return func(p *Prober) { p.turn.spacing = time.Second / time.Duration(perSecond) }
}

// WithTimeout bounds one probe.
func WithTimeout(d time.Duration) Option { return func(p *Prober) { p.timeout = d } }

// New returns a Prober that tells sink.
func New(sink Sink, options ...Option) *Prober {
	p := &Prober{
		sink:    sink,
		turn:    turn{spacing: time.Second / DefaultRate},
		timeout: DefaultTimeout,
		views:   make(chan masticview.View, 1),
		stopped: make(chan struct{}),
	}
	for _, o := range options {
		o(p)
	}
	p.client = &http.Client{Timeout: p.timeout}
	return p
}

// SetView replaces the backend servers that are probed. A view that waits is replaced.
func (p *Prober) SetView(v masticview.View) {
	for {
		select {
		case p.views <- v:
			return
		default:
		}
		select {
		case <-p.views:
		default:
		}
	}
}

// Run probes until Stop.
func (p *Prober) Run() error {
	ticker := time.NewTicker(p.turn.spacing)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return nil
		case v := <-p.views:
			p.turn.setServers(v.Servers())
		case now := <-ticker.C:
			p.probeNext(now)
		}
	}
}

// Stop ends Run.
func (p *Prober) Stop(error) { close(p.stopped) }

func (p *Prober) probeNext(now time.Time) {
	s, ok := p.turn.take(now)
	if !ok {
		return
	}
	r, err := p.ask(s)
	if err != nil {
		p.sink.Probe(s.Name, "", false)
		return
	}
	p.sink.Probe(s.Name, r.Incarnation, true)
	p.sink.Report(masticroute.Report{
		Server:       s.Name,
		Incarnation:  r.Incarnation,
		AsOf:         now,
		QueuedTokens: r.QueuedTokens,
		Running:      r.Running,
		Slots:        r.Slots,
	})
}

// loadReport is the answer to GET /load.
type loadReport struct {
	Incarnation  string `json:"incarnation"`
	Running      int64  `json:"running"`
	Slots        int64  `json:"slots"`
	QueuedTokens int64  `json:"queuedTokens"`
}

func (p *Prober) ask(s masticview.Server) (loadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	var r loadReport
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/load", nil)
	if err != nil {
		return r, err
	}
	a, err := p.client.Do(q)
	if err != nil {
		return r, err
	}
	defer a.Body.Close()
	return r, json.NewDecoder(io.LimitReader(a.Body, maxReportBytes)).Decode(&r)
}
