// Package masticprobe polls backend servers for their load at a limited rate, so that the
// traffic stays within the share that a host may use for control.
package masticprobe

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/mastichttp"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// Bounds and defaults of a Prober.
const (
	// DefaultRate is the number of probes per second over all backend servers.
	DefaultRate = 8
	// DefaultTimeout bounds one probe.
	DefaultTimeout = 500 * time.Millisecond
	// maxReportBytes bounds the body of a load report.
	maxReportBytes = 64 << 10
)

// Sink receives the results of probes: Probe is called for each one, Report for each load
// report.
type Sink interface {
	masticcall.StatementObserver
	Report(r masticroute.LoadReport)
	Probe(server, incarnation string, alive bool)
}

// Prober polls the backend servers in turn. Run and Stop are the functions of an actor of a
// run group.
type Prober struct {
	sink     Sink
	client   *http.Client
	schedule schedule
	timeout  time.Duration
	views    chan masticview.View
	stopped  chan struct{}
}

// Option configures a Prober.
type Option func(*Prober)

// WithRate sets the number of probes per second.
func WithRate(perSecond int) Option {
	return func(p *Prober) { p.schedule.interval = time.Second / time.Duration(perSecond) }
}

// WithTimeout sets the timeout of one probe.
func WithTimeout(d time.Duration) Option { return func(p *Prober) { p.timeout = d } }

// New returns a Prober that reports to sink.
func New(sink Sink, options ...Option) *Prober {
	p := &Prober{
		sink:     sink,
		schedule: schedule{interval: time.Second / DefaultRate},
		timeout:  DefaultTimeout,
		views:    make(chan masticview.View, 1),
		stopped:  make(chan struct{}),
	}
	for _, o := range options {
		o(p)
	}
	p.client = mastichttp.NewClient()
	return p
}

// SetView replaces the backend servers that are probed. It replaces an earlier view that
// Run has not received yet.
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

// Run probes backend servers until Stop.
func (p *Prober) Run() error {
	ticker := time.NewTicker(p.schedule.interval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return nil
		case v := <-p.views:
			p.schedule.setServers(v.Servers())
		case now := <-ticker.C:
			p.probeNext(now)
		}
	}
}

// Stop ends Run.
func (p *Prober) Stop(error) { close(p.stopped) }

func (p *Prober) probeNext(now time.Time) {
	s, ok := p.schedule.next(now)
	if !ok {
		return
	}
	r, err := p.fetchLoad(s)
	if err != nil {
		p.sink.Probe(s.Name, "", false)
		return
	}
	p.sink.Probe(s.Name, r.Incarnation, true)
	p.sink.Report(masticroute.LoadReport{
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

// fetchLoad requests the load report of s.
func (p *Prober) fetchLoad(s masticview.Server) (loadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	var r loadReport
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/load", nil)
	if err != nil {
		return r, err
	}
	sentAt := time.Now()
	a, err := p.client.Do(q)
	if err != nil {
		return r, err
	}
	defer a.Body.Close()
	// What cannot be parsed states nothing; the client that sends requests logs it.
	statement, _ := masticengine.ParseStatement(a.StatusCode, a.Header, time.Now())
	p.sink.ObserveStatement(s, "", sentAt, statement)
	return r, json.NewDecoder(io.LimitReader(a.Body, maxReportBytes)).Decode(&r)
}
