// Package masticgossip tells the entry hosts of each other's work on backend servers, so
// that each places requests by the work of all. What is lost is made good by the next report.
package masticgossip

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticroute"
	"masticladder/masticview"
	"masticladder/masticwire"
)

const (
	// leastInterval is the time between two reports on small sites: a request with a long
	// prompt occupies an engine for some 100 ms and more.
	leastInterval = 40 * time.Millisecond
	// hostsPerInterval is the number of hosts for which that holds; more hosts report less
	// often, so that what one host takes in stays the same.
	hostsPerInterval = 16
	// leastGap is the least time between two reports: placings that come together are told
	// together.
	leastGap = 10 * time.Millisecond
)

// Dispatcher is what knows this host's work and takes that of others.
type Dispatcher interface {
	Own(host string) (masticroute.PeerReport, bool)
	Peer(p masticroute.PeerReport)
	// Placed signals a placing of which the others should know at once.
	Placed() <-chan struct{}
}

// Exchange sends this host's reports and takes those of others.
type Exchange struct {
	host       string
	wire       *masticwire.Wire
	view       func() masticview.View
	dispatcher Dispatcher
	log        logrus.FieldLogger
	server     *masticwire.Server
	clients    map[string]*masticwire.Client
	stopped    chan struct{}
}

// New binds the peer address of the host, which is its name too.
func New(host string, w *masticwire.Wire, view func() masticview.View, d Dispatcher, log logrus.FieldLogger) (*Exchange, error) {
	e := &Exchange{
		host: host, wire: w, view: view, dispatcher: d, log: log,
		clients: map[string]*masticwire.Client{}, stopped: make(chan struct{}),
	}
	server, err := w.Listen(host, &receiver{exchange: e})
	e.server = server
	return e, err
}

// Serve takes reports until Stop.
func (e *Exchange) Serve() error { return e.server.Run() }

// StopServing ends Serve.
func (e *Exchange) StopServing(error) { e.server.Stop() }

// Run sends reports until Stop, at once after a placing of which the others should know: of
// two hosts that get the same prefix within an interval each read it on an engine of its own.
func (e *Exchange) Run() error {
	timer := time.NewTimer(leastInterval)
	defer timer.Stop()
	defer e.close()
	idle, sentAt := false, time.Now()
	for {
		select {
		case <-e.stopped:
			return nil
		case <-e.dispatcher.Placed():
			if wait := leastGap - time.Since(sentAt); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-timer.C:
		}
		sentAt = time.Now()
		peers := e.peers()
		report, ok := e.dispatcher.Own(e.host)
		if !ok {
			return nil
		}
		empty := len(report.Servers) == 0 && len(report.Touches) == 0
		if !empty || !idle {
			e.send(peers, report)
		}
		idle = empty
		timer.Reset(leastInterval * time.Duration(1+len(peers)/hostsPerInterval))
	}
}

// Stop ends Run.
func (e *Exchange) Stop(error) { close(e.stopped) }

// peers returns the peer addresses of the other entry hosts that serve.
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
		Kind: &masticproto.PeerRequest_Load{Load: encode(report)},
	}
	for _, address := range peers {
		c, err := e.client(address)
		if err != nil {
			e.log.WithError(err).WithField("peer", address).Warn("a peer address cannot be used")
			continue
		}
		// A report that is not taken is made good by the next one.
		_ = c.Send(q)
	}
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

func (e *Exchange) close() {
	for _, c := range e.clients {
		c.Close()
	}
}

// receiver takes what other hosts send.
type receiver struct{ exchange *Exchange }

// Answer answers no call: only reports come here.
func (r *receiver) Answer(context.Context, *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	return nil, masticerror.New(masticerror.KindBadRequest, "this host answers no calls")
}

// Stream answers no watch.
func (r *receiver) Stream(context.Context, *masticproto.PeerRequest, func(*masticproto.PeerAnswer) error) error {
	return masticerror.New(masticerror.KindBadRequest, "this host has no streams")
}

// Receive takes a report.
func (r *receiver) Receive(q *masticproto.PeerRequest) {
	if l := q.GetLoad(); l != nil {
		r.exchange.dispatcher.Peer(decode(l))
	}
}
