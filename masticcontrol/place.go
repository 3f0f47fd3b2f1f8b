package masticcontrol

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticring"
	"masticladder/masticview"
)

const (
	// placeInterval is how often wishes are derived again while a load waits or runs.
	placeInterval = 500 * time.Millisecond
	// loadOrders bounds the committed orders that wait for a sender.
	loadOrders = 256
)

// Loader gives a load order to a backend server and returns once the weights are loaded.
type Loader interface {
	Load(ctx context.Context, server masticview.Server, o masticplace.Order) error
}

// placement orders the weights that the view asks for, as long as its leader leads.
type placement struct {
	leader   *leader
	planner  *masticplace.Planner
	revision uint64
	next     time.Time
	// from is when wishes may be derived again: a change of weights makes a revision an order.
	from time.Time
	// sizes are the numbers of servers by pool.
	sizes map[string]int
}

func newPlacement(now time.Time, d *leader) *placement {
	p := &placement{leader: d}
	options := []masticplace.Option{
		masticplace.WithFormer(d.loop.state.OpenLoads()),
		masticplace.WithLimit(p.poolLoads),
	}
	p.planner = masticplace.NewPlanner(d.term, now, append(options, d.loop.placeOptions...)...)
	return p
}

// due returns when wishes are derived next, given the revision of the view.
func (p *placement) due(revision uint64) time.Time {
	if revision != p.revision {
		return p.from
	}
	return p.next
}

// propose derives the wishes and proposes the orders that may be given now.
func (p *placement) propose(now time.Time) {
	view := p.leader.loop.state.View()
	if (view.Revision() == p.revision && now.Before(p.next)) || now.Before(p.from) {
		return
	}
	p.revision = view.Revision()
	p.next = now.Add(placeInterval)
	p.from = now.Add(p.leader.loop.pushInterval)
	servers := view.Servers()
	p.count(servers)
	slices.SortStableFunc(servers, func(a, b masticview.Server) int {
		return cmp.Compare(versionOf(a.WeightsVersion), versionOf(b.WeightsVersion))
	})
	p.planner.Withdraw()
	for _, s := range servers {
		if l, wanted := p.wish(s); wanted && !p.planner.Pending(now, l) {
			p.planner.Want(l)
		}
	}
	for _, d := range p.planner.Decide(now) {
		p.log(d)
		if d.Order != nil {
			_, _, _ = p.leader.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Load{Load: d.Order.ToProto(false)}})
		}
	}
}

// Bounds of the orders to one pool that run at once. The users' sites load at full speed up
// to 3 of 18, 2 of 9, 17 of 89 and 18 of 90 servers at once; an order spends about half of
// its time waiting for the requests that run.
const (
	serversPerLoad = 3.5
	minPoolLoads   = 2
)

// poolLoads returns how many servers of a pool may load at once.
func (p *placement) poolLoads(pool string) int {
	return max(minPoolLoads, int(float64(p.sizes[pool])/serversPerLoad+0.5))
}

// count counts the servers of each pool.
func (p *placement) count(servers []masticview.Server) {
	p.sizes = map[string]int{}
	for _, s := range servers {
		p.sizes[s.Service]++
	}
}

// wish returns the load that s lacks. A backend server that lists several models is
// loaded by its operator.
func (p *placement) wish(s masticview.Server) (masticplace.Load, bool) {
	l := masticplace.Load{Server: s.Name, Owner: s.Owner, WeightsVersion: s.WeightsVersion, ChecksFencing: s.ChecksFencing}
	if s.Service != "" {
		return p.wishOfPool(s)
	}
	if s.Kind != masticview.ServerEngine || s.State != masticview.ServerActive || s.WeightsVersion == "" || len(s.Models) != 1 {
		return l, false
	}
	l.Model = s.Models[0]
	last, known := p.leader.loop.state.LastLoad(s.Name)
	if !known || last.GetModel() != l.Model || last.GetWeightsVersion() != l.WeightsVersion {
		return l, true
	}
	return l, !last.GetDone()
}

// wishOfPool returns the load that a server of a pool lacks: the newest version named of its
// model, unless it has that or a later one.
func (p *placement) wishOfPool(s masticview.Server) (masticplace.Load, bool) {
	l := masticplace.Load{Server: s.Name, Owner: s.Service, ChecksFencing: s.ChecksFencing}
	if s.Kind != masticview.ServerEngine || s.State != masticview.ServerActive || len(s.Models) != 1 {
		return l, false
	}
	l.Model = s.Models[0]
	named, ok := p.leader.loop.state.View().Weights(l.Model)
	if !ok {
		return l, false
	}
	l.WeightsVersion = strconv.FormatInt(named.Version, 10)
	return l, newer(l.WeightsVersion, s.WeightsVersion)
}

// newer reports whether version a, a number, is higher than b.
func newer(a, b string) bool {
	return versionOf(a) > versionOf(b)
}

// versionOf returns a version of weights as a number, zero where it is none.
func versionOf(version string) int64 {
	n, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// ordered reports whether an order to the named server may be running at now.
func (p *placement) ordered(now time.Time, server string) bool {
	return p != nil && p.planner.Ordered(now, server)
}

func (p *placement) log(d masticplace.Decision) {
	fields := logrus.Fields{
		"server":  d.Load.Server,
		"owner":   d.Load.Owner,
		"model":   d.Load.Model,
		"version": d.Load.WeightsVersion,
		"reason":  string(d.Reason),
		"running": d.Running,
		"limit":   d.Limit,
	}
	if d.Order != nil {
		fields["fence"] = d.Order.Fence
	}
	p.leader.loop.log.WithFields(fields).Info("load decided")
}

// applied hands a committed order to the senders, and an ended one to the planner.
func (p *placement) applied(now time.Time, o *masticproto.LoadOrder) {
	order := masticplace.OrderFromProto(o)
	if o.GetDone() {
		p.planner.Done(order.Server, order.Fence)
		p.next = now
		return
	}
	server, ok := p.leader.loop.state.View().Server(order.Server)
	if !ok || order.Fence.Term != p.leader.term {
		return
	}
	if err := p.leader.loop.orders.Offer(loadOrder{server, order}); err != nil {
		p.leader.loop.log.WithError(err).WithField("server", order.Server).Warn("load order not sent; its deadline ends it")
	}
}

// loadOrder is a committed order to send.
type loadOrder struct {
	server masticview.Server
	order  masticplace.Order
}

// failurePause is the time after which a backend server whose load failed is ordered again.
const failurePause = time.Second

// failed gives the place of a failed load to another backend server.
func (p *placement) failed(now time.Time, o masticplace.Order) {
	if o.Fence.Term == p.leader.term {
		p.planner.Failed(o.Server, o.Fence, now.Add(failurePause))
		p.next = now
	}
}

// loadSender sends committed orders and tells the loop when they are done.
type loadSender struct {
	loop   *loop
	orders *masticring.Ring[loadOrder]
}

func (s *loadSender) run() {
	defer s.loop.senders.Done()
	for o := range s.orders.Out() {
		s.send(o)
	}
}

func (s *loadSender) send(o loadOrder) {
	ctx, cancel := context.WithDeadline(s.loop.sending, o.order.Deadline)
	defer cancel()
	log := s.loop.log.WithField("server", o.order.Server).WithField("fence", o.order.Fence)
	err := s.loop.loader.Load(ctx, o.server, o.order)
	s.loop.counters.noteOrder(err)
	if err != nil {
		log.WithError(err).Warn("load order failed")
		if err := s.loop.failures.Offer(o); err != nil {
			log.WithError(err).Warn("the failure of a load was not noted; its deadline ends it")
		}
		return
	}
	log.Info("load order done")
	request := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: &masticproto.Command{
		Kind: &masticproto.Command_Load{Load: o.order.ToProto(true)},
	}}}
	c := newCall(ctx, request)
	if err := s.loop.calls.Offer(c); err != nil {
		log.WithError(err).Warn("the end of a load was not recorded; its deadline ends it")
		return
	}
	if _, err := c.wait(); err != nil {
		log.WithError(err).Warn("the end of a load was not recorded; its deadline ends it")
	}
}
