// Package masticgossip exchanges load reports between the entry hosts, so that each host
// places requests according to the load of all hosts on the backend servers. Reports may be
// lost; the next report replaces a lost one.
package masticgossip

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticerror"
	"masticladder/masticlimit"
	"masticladder/masticproto"
	"masticladder/masticroute"
	"masticladder/masticview"
	"masticladder/masticwire"
)

const (
	// baseReportInterval is the time between two reports on small sites. It is short compared
	// with the 100 ms and more that a request with a long prompt occupies an engine.
	baseReportInterval = 40 * time.Millisecond
	// hostsPerBaseInterval: for every 16 peers the interval grows by baseReportInterval, so
	// that the rate of reports that one host receives stays about the same.
	hostsPerBaseInterval = 16
	// minReportInterval is the shortest time between two reports; placements within it are
	// reported together.
	minReportInterval = 10 * time.Millisecond
)

// Dispatcher provides the load of this host and receives that of its peers.
type Dispatcher interface {
	// TakeOwnReport returns the report of this host, or false after the dispatcher has stopped.
	TakeOwnReport(host string) (masticroute.PeerReport, bool)
	// ApplyPeerReport processes the report of another host.
	ApplyPeerReport(p masticroute.PeerReport)
	// ReportDue returns the channel that signals changes to report at once, such as a placement.
	ReportDue() <-chan struct{}
	// TakeLimitReports returns the reports of this host on request rates, by the host that each is for.
	TakeLimitReports() map[string]masticlimit.Report
	// ApplyLimitReport processes another host's report on request rates.
	ApplyLimitReport(r masticlimit.Report)
	// Sharded reports whether coordinators assign engines, so that load reports are not needed.
	Sharded() bool
}

// Exchange sends the reports of this host and receives those of its peers.
type Exchange struct {
	host       string
	address    string
	limitsOnly bool
	wire       *masticwire.Wire
	view       func() masticview.View
	dispatcher Dispatcher
	log        logrus.FieldLogger
	server     *masticwire.Server
	clients    map[string]*masticwire.Client
	calls      Calls
	// sentEmpty reports that the last load report was empty.
	sentEmpty bool
	stopped   chan struct{}
}

// Calls handles further messages that arrive at the address of the exchange.
type Calls interface {
	Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error)
	Receive(q *masticproto.PeerRequest)
}

// WithCalls sets the handler of further messages.
func WithCalls(c Calls) Option { return func(e *Exchange) { e.calls = c } }

// Option configures New.
type Option func(*Exchange)

// WithListen makes the exchange receive reports at address, an IP:port. Without it, they have to be
// passed to Receive.
func WithListen(address string) Option { return func(e *Exchange) { e.address = address } }

// WithLimitsOnly leaves out the load reports.
func WithLimitsOnly() Option { return func(e *Exchange) { e.limitsOnly = true } }

// New returns the exchange of the named host.
func New(host string, w *masticwire.Wire, view func() masticview.View, d Dispatcher, log logrus.FieldLogger, options ...Option) (*Exchange, error) {
	e := &Exchange{
		host: host, wire: w, view: view, dispatcher: d, log: log,
		clients: map[string]*masticwire.Client{}, stopped: make(chan struct{}),
	}
	for _, o := range options {
		o(e)
	}
	if e.address == "" {
		return e, nil
	}
	server, err := w.Listen(e.address, &receiver{exchange: e})
	e.server = server
	return e, err
}

// Serve receives reports until StopServing. It needs WithListen.
func (e *Exchange) Serve() error { return e.server.Run() }

// StopServing ends Serve.
func (e *Exchange) StopServing(error) { e.server.Stop() }

// Run sends reports until Stop. After a placement that peers need to know it reports at
// once: otherwise two hosts that get the same prefix within one interval would each have it
// processed by a different engine.
func (e *Exchange) Run() error {
	timer := time.NewTimer(baseReportInterval)
	defer timer.Stop()
	defer e.close()
	sentAt := time.Now()
	for {
		select {
		case <-e.stopped:
			return nil
		case <-e.dispatcher.ReportDue():
			if delay := minReportInterval - time.Since(sentAt); delay > 0 {
				timer.Reset(delay)
				continue
			}
		case <-timer.C:
		}
		sentAt = time.Now()
		peers := e.peers()
		if !e.report(peers) {
			return nil
		}
		timer.Reset(baseReportInterval * time.Duration(1+len(peers)/hostsPerBaseInterval))
	}
}

// report sends the reports that are due. It returns false after the dispatcher has stopped. Hosts whose work
// is assigned by coordinators send no load reports, and keep no connections for them.
func (e *Exchange) report(peers []string) bool {
	sharded := e.dispatcher.Sharded()
	if !e.limitsOnly && !sharded {
		report, ok := e.dispatcher.TakeOwnReport(e.host)
		if !ok {
			return false
		}
		empty := len(report.Servers) == 0 && len(report.Touches) == 0
		if !empty || !e.sentEmpty {
			e.send(peers, report)
		}
		e.sentEmpty = empty
	}
	if !e.sendLimits() && sharded {
		e.close()
	}
	return true
}

// Stop makes Run return; its argument is ignored. It must be called only once.
func (e *Exchange) Stop(error) { close(e.stopped) }

// peers returns the peer addresses of the other entry hosts that are live or leaving.
func (e *Exchange) peers() []string {
	var peers []string
	for _, h := range e.view().Hosts() {
		if h.Name != e.host && h.Peer != "" && (h.State == masticview.HostLive || h.State == masticview.HostLeaving) {
			peers = append(peers, h.Peer)
		}
	}
	return peers
}

func (e *Exchange) send(peers []string, report masticroute.PeerReport) {
	q := &masticproto.PeerRequest{
		Mode: masticproto.PeerMode_PEER_ONE_WAY,
		Kind: &masticproto.PeerRequest_Load{Load: encodeReport(report)},
	}
	for _, address := range peers {
		e.sendTo(address, q)
	}
}

// sendLimits sends the reports on request rates, and reports whether there are any.
func (e *Exchange) sendLimits() bool {
	reports := e.dispatcher.TakeLimitReports()
	if len(reports) == 0 {
		return false
	}
	for _, h := range e.view().Hosts() {
		if r, ok := reports[h.Name]; ok && h.Peer != "" {
			e.sendTo(h.Peer, &masticproto.PeerRequest{
				Mode: masticproto.PeerMode_PEER_ONE_WAY,
				Kind: &masticproto.PeerRequest_Limit{Limit: encodeLimits(r)},
			})
		}
	}
	return true
}

func (e *Exchange) sendTo(address string, q *masticproto.PeerRequest) {
	c, err := e.client(address)
	if err != nil {
		e.log.WithError(err).WithField("peer", address).Warn("cannot create a client for the peer address; report not sent")
		return
	}
	// An unsent load report is replaced by the next one; tokens of an unsent grant are lost.
	_ = c.Send(q)
}

func (e *Exchange) client(address string) (*masticwire.Client, error) {
	if c, ok := e.clients[address]; ok {
		return c, nil
	}
	c, err := e.wire.Client(address)
	if err != nil {
		return nil, err
	}
	e.clients[address] = c
	return c, nil
}

// close closes the connections to other hosts. They are opened again when they are needed.
func (e *Exchange) close() {
	for _, c := range e.clients {
		c.Close()
	}
	clear(e.clients)
}

// receiver handles the messages of other hosts.
type receiver struct{ exchange *Exchange }

// Answer passes calls to the handler of WithCalls.
func (r *receiver) Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	if r.exchange.calls != nil {
		return r.exchange.calls.Answer(ctx, q)
	}
	return nil, masticerror.New(masticerror.KindBadRequest, "this host answers no calls")
}

// Stream rejects all streams.
func (r *receiver) Stream(context.Context, *masticproto.PeerRequest, func(*masticproto.PeerAnswer) error) error {
	return masticerror.New(masticerror.KindBadRequest, "this host has no streams")
}

// Receive passes reports to the dispatcher and ignores other messages.
func (r *receiver) Receive(q *masticproto.PeerRequest) { r.exchange.Receive(q) }

// Receive passes a report of another host to the dispatcher, and other messages to the handler of
// WithCalls.
func (e *Exchange) Receive(q *masticproto.PeerRequest) {
	if e.calls != nil {
		e.calls.Receive(q)
	}
	if l := q.GetLoad(); l != nil {
		e.dispatcher.ApplyPeerReport(decodeReport(l))
	}
	if l := q.GetLimit(); l != nil {
		e.dispatcher.ApplyLimitReport(decodeLimits(l))
	}
}
