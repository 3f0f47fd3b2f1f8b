// Package masticassign carries the assignment of engines, and charges to quotas, between the hosts that serve
// callers and the hosts that coordinate shards or keep quotas.
package masticassign

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticgossip"
	"masticladder/masticproto"
	"masticladder/masticroute"
	"masticladder/masticwire"
)

// Client asks coordinators. It implements masticcall.Coordinators.
type Client struct {
	wire *masticwire.Wire
	// asked counts questions to coordinators, unanswered those without an answer, busy those whose shard
	// could not take the request.
	asked, unanswered, busy metrics.Counter
	// rejected counts questions that coordinators rejected because they had too many, late the unanswered ones
	// at coordinators that are not out of reach.
	rejected, late metrics.Counter
	clock          clock

	mutex   sync.Mutex
	clients map[string]*usedClient
}

// usedClient is a connection to a coordinator.
type usedClient struct {
	*masticwire.Client
	usedAt time.Time
}

// deadTimeout is the time without anything from a host that leaves questions unanswered after which it counts as
// out of reach. A host without processor time is silent for some 100 ms.
const deadTimeout = 400 * time.Millisecond

// classified returns the error of a call, with kind overloaded if the other host is late but not out of reach.
func (c *usedClient) classified(err error) error {
	k := masticerror.KindOf(err)
	if (k == masticerror.KindOutcomeUnknown || k == masticerror.KindOverloaded) && c.IsConnected() && c.Silence() < deadTimeout {
		return masticerror.Wrap(err, masticerror.KindOverloaded, "%s is late", c.Address())
	}
	return err
}

// unusedTimeout is the time after which the connection to a host that is no coordinator any more is closed.
const unusedTimeout = time.Minute

// NewClient returns a client without connections, with its counters in r.
func NewClient(w *masticwire.Wire, r metrics.Registry) *Client {
	return &Client{
		wire: w, clients: map[string]*usedClient{},
		asked:      metrics.GetOrRegisterCounter("shards.asked", r),
		unanswered: metrics.GetOrRegisterCounter("shards.unanswered", r),
		busy:       metrics.GetOrRegisterCounter("shards.busy", r),
		rejected:   metrics.GetOrRegisterCounter("shards.rejected", r),
		late:       metrics.GetOrRegisterCounter("shards.late", r),
		clock:      newClock(),
	}
}

// Assign implements masticcall.Coordinators.
func (c *Client) Assign(ctx context.Context, peer string, q masticcall.ShardRequest) (masticcall.ShardAssignment, error) {
	c.asked.Inc(1)
	a, err := c.assign(ctx, peer, q)
	switch {
	case err != nil:
		c.unanswered.Inc(1)
		if masticerror.KindOf(err) == masticerror.KindOverloaded {
			c.late.Inc(1)
		}
	case a.Busy:
		c.rejected.Inc(1)
	case a.Server == "":
		c.busy.Inc(1)
	}
	return a, err
}

func (c *Client) assign(ctx context.Context, peer string, q masticcall.ShardRequest) (masticcall.ShardAssignment, error) {
	client, err := c.client(peer)
	if err != nil {
		return masticcall.ShardAssignment{}, err
	}
	now := time.Now()
	a, err := client.Call(ctx, &masticproto.PeerRequest{
		Sent: c.clock.sentAt(now), Kind: &masticproto.PeerRequest_Assign{Assign: encodeRequest(now, q)},
	})
	if err != nil {
		return masticcall.ShardAssignment{}, client.classified(err)
	}
	if a.GetAssign() == nil {
		return masticcall.ShardAssignment{}, masticerror.New(masticerror.KindInternal, "%s answered no assignment", peer)
	}
	return decodeAssignment(a.GetAssign()), nil
}

// Update implements masticcall.Coordinators.
func (c *Client) Update(peer string, u masticcall.ShardUpdate) {
	client, err := c.client(peer)
	if err != nil {
		return
	}
	// The deadline of the request ends an assignment whose update is lost.
	_ = client.Send(&masticproto.PeerRequest{
		Mode: masticproto.PeerMode_PEER_ONE_WAY,
		Kind: &masticproto.PeerRequest_AssignUpdate{AssignUpdate: encodeUpdate(u)},
	})
}

// ReportLoad implements masticdispatch.LoadReporter.
func (c *Client) ReportLoad(peer string, r masticroute.PeerReport) {
	client, err := c.client(peer)
	if err != nil {
		return
	}
	// A coordinator that does not get the report takes the engines for idle ones until it is told otherwise.
	_ = client.Send(&masticproto.PeerRequest{
		Mode: masticproto.PeerMode_PEER_ONE_WAY,
		Kind: &masticproto.PeerRequest_Load{Load: masticgossip.EncodeReport(r)},
	})
}

// client returns the connection to a peer. Whenever there is a new one, those are closed that have not been
// used for unusedTimeout.
func (c *Client) client(peer string) (*usedClient, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if x, ok := c.clients[peer]; ok {
		x.usedAt = now
		return x, nil
	}
	for p, x := range c.clients {
		if now.Sub(x.usedAt) > unusedTimeout {
			x.Close()
			delete(c.clients, p)
		}
	}
	x, err := c.wire.Client(peer)
	if err != nil {
		return nil, err
	}
	c.clients[peer] = &usedClient{x, now}
	return c.clients[peer], nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, x := range c.clients {
		x.Close()
	}
}

// Coordinator assigns engines of the shards that this host coordinates.
type Coordinator interface {
	AssignFromShard(ctx context.Context, q masticcall.ShardRequest) masticcall.ShardAssignment
	UpdateShard(u masticcall.ShardUpdate)
	// Busy reports whether questions wait that will take a large part of the time that their hosts wait.
	Busy() bool
}

// Server passes the messages of other hosts to this host's Coordinator.
type Server struct {
	coordinator Coordinator
	keeper      Keeper
	ages        *ages
	// rejected counts questions that were rejected because this host has too many, expired those whose host had
	// stopped waiting.
	rejected, expired metrics.Counter
}

// ServerOption configures NewServer.
type ServerOption func(*Server)

// WithKeeper makes the server take charges.
func WithKeeper(k Keeper) ServerOption { return func(s *Server) { s.keeper = k } }

// WithMetrics registers the counters of rejected and expired questions in r.
func WithMetrics(r metrics.Registry) ServerOption {
	return func(s *Server) {
		s.rejected = metrics.GetOrRegisterCounter("coordinator.rejected", r)
		s.expired = metrics.GetOrRegisterCounter("coordinator.expired", r)
	}
}

// NewServer returns a server for c.
func NewServer(c Coordinator, options ...ServerOption) *Server {
	s := &Server{coordinator: c, ages: newAges(), rejected: metrics.NewCounter(), expired: metrics.NewCounter()}
	for _, o := range options {
		o(s)
	}
	return s
}

// Answer answers an assignment request or a charge. It leaves those unanswered whose host has stopped waiting.
func (s *Server) Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	now := time.Now()
	wait := time.Duration(q.GetTimeoutMs()) * time.Millisecond
	age := s.ages.age(now, q.GetSent())
	if wait > 0 && age >= wait || ctx.Err() != nil {
		s.expired.Inc(1)
		return nil, masticerror.New(masticerror.KindOverloaded, "the question was %v old", age)
	}
	if c := q.GetCharge(); c != nil {
		return s.charge(c)
	}
	p := q.GetAssign()
	if p == nil {
		return nil, masticerror.New(masticerror.KindBadRequest, "this host answers no such call")
	}
	if wait > 0 && age >= wait*busyNumerator/busyDenominator || s.coordinator.Busy() {
		s.rejected.Inc(1)
		return assignAnswer(masticcall.ShardAssignment{Busy: true}), nil
	}
	r, ok := decodeRequest(now, p)
	if !ok {
		return nil, masticerror.New(masticerror.KindBadRequest, "the assignment request is malformed")
	}
	if wait > 0 {
		left, cancel := context.WithTimeout(ctx, wait-age)
		defer cancel()
		ctx = left
	}
	return assignAnswer(s.coordinator.AssignFromShard(ctx, r)), nil
}

// A question is rejected if it has waited for two thirds of the time that its host waits, so that the rejection
// still arrives in time.
const (
	busyNumerator   = 2
	busyDenominator = 3
)

func assignAnswer(a masticcall.ShardAssignment) *masticproto.PeerAnswer {
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Assign{Assign: encodeAssignment(a)}}
}

// Receive applies an update or a refund and ignores other messages.
func (s *Server) Receive(q *masticproto.PeerRequest) {
	if u := q.GetAssignUpdate(); u != nil {
		s.coordinator.UpdateShard(decodeUpdate(u))
	}
	if r := q.GetChargeRefund(); r != nil && s.keeper != nil && isCount(r.GetTokens()) {
		s.keeper.Refund(r.GetWorkspace(), r.GetTokens())
	}
}
