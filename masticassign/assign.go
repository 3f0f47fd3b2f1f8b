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
	"masticladder/masticproto"
	"masticladder/masticwire"
)

// Client asks coordinators. It implements masticcall.Coordinators.
type Client struct {
	wire *masticwire.Wire
	// asked counts questions to coordinators, unanswered those without an answer, busy those whose shard
	// could not take the request.
	asked, unanswered, busy metrics.Counter

	mutex   sync.Mutex
	clients map[string]*usedClient
}

// usedClient is a connection to a coordinator.
type usedClient struct {
	*masticwire.Client
	usedAt time.Time
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
	}
}

// Assign implements masticcall.Coordinators.
func (c *Client) Assign(ctx context.Context, peer string, q masticcall.ShardRequest) (masticcall.ShardAssignment, error) {
	c.asked.Inc(1)
	a, err := c.assign(ctx, peer, q)
	switch {
	case err != nil:
		c.unanswered.Inc(1)
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
	a, err := client.Call(ctx, &masticproto.PeerRequest{
		Kind: &masticproto.PeerRequest_Assign{Assign: encodeRequest(time.Now(), q)},
	})
	if err != nil {
		return masticcall.ShardAssignment{}, err
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
}

// Server passes the messages of other hosts to this host's Coordinator.
type Server struct {
	coordinator Coordinator
	keeper      Keeper
}

// ServerOption configures NewServer.
type ServerOption func(*Server)

// WithKeeper makes the server take charges.
func WithKeeper(k Keeper) ServerOption { return func(s *Server) { s.keeper = k } }

// NewServer returns a server for c.
func NewServer(c Coordinator, options ...ServerOption) *Server {
	s := &Server{coordinator: c}
	for _, o := range options {
		o(s)
	}
	return s
}

// Answer answers an assignment request or a charge.
func (s *Server) Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	if c := q.GetCharge(); c != nil {
		return s.charge(c)
	}
	p := q.GetAssign()
	if p == nil {
		return nil, masticerror.New(masticerror.KindBadRequest, "this host answers no such call")
	}
	r, ok := decodeRequest(time.Now(), p)
	if !ok {
		return nil, masticerror.New(masticerror.KindBadRequest, "the assignment request is malformed")
	}
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Assign{Assign: encodeAssignment(s.coordinator.AssignFromShard(ctx, r))}}, nil
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
