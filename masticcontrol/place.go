package masticcontrol

import (
	"cmp"
	"context"
	"errors"
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
	// planInterval is how often the requested loads are computed again, also while no load is
	// requested; a longer pushInterval makes it less often.
	planInterval = 500 * time.Millisecond
	// maxQueuedLoadOrders bounds the committed orders that wait for a sender, and the failed ones
	// that wait for the loop.
	maxQueuedLoadOrders = 256
)

// Loader sends a load order to a backend server and returns once the weights are loaded.
type Loader interface {
	Load(ctx context.Context, server masticview.Server, o masticplace.Order) error
}

// placement orders the loading of the weights that the view requires, while its leader leads.
type placement struct {
	leader   *leaderState
	planner  *masticplace.Planner
	revision uint64
	nextPlan time.Time
	// earliestPlan is the earliest time of the next plan. Planning is limited to once per
	// pushInterval because a change of weights makes a new revision for each order.
	earliestPlan time.Time
	oldWeights   oldWeights
	// poolSizes is the number of servers in each pool.
	poolSizes map[string]int
}

func newPlacement(now time.Time, d *leaderState) *placement {
	p := &placement{leader: d, oldWeights: oldWeights{seen: map[string]seenWeights{}}}
	options := []masticplace.Option{
		masticplace.WithPreviousOrders(d.loop.state.OpenLoads()),
		masticplace.WithDefaultMaxConcurrentLoads(p.maxPoolLoads),
	}
	p.planner = masticplace.NewPlanner(d.term, now, append(options, d.loop.placeOptions...)...)
	return p
}

// nextPlanTime returns when to plan next, given the revision of the view.
func (p *placement) nextPlanTime(revision uint64) time.Time {
	if revision != p.revision {
		return p.earliestPlan
	}
	return p.nextPlan
}

// propose computes the requested loads and proposes the orders that may be sent now.
func (p *placement) propose(now time.Time) {
	view := p.leader.loop.state.View()
	if (view.Revision() == p.revision && now.Before(p.nextPlan)) || now.Before(p.earliestPlan) {
		return
	}
	p.revision = view.Revision()
	p.nextPlan = now.Add(planInterval)
	p.earliestPlan = now.Add(p.leader.loop.pushInterval)
	servers := view.Servers()
	p.countPools(servers)
	p.oldWeights.report(now, p, servers)
	var loads []requestedLoad
	for _, s := range servers {
		if l, requested := p.requestedLoad(s); requested && !p.planner.InProgress(now, l) {
			loads = append(loads, requestedLoad{l, versionNumber(s.VersionOf(l.Model))})
		}
	}
	slices.SortStableFunc(loads, func(a, b requestedLoad) int { return cmp.Compare(a.current, b.current) })
	p.planner.ClearRequests()
	for _, l := range loads {
		p.planner.Request(l.load)
	}
	for _, d := range p.planner.Decide(now) {
		p.log(d)
		if d.Order != nil {
			_, _, _ = p.leader.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Load{Load: d.Order.ToProto(false)}})
		}
	}
}

// requestedLoad is a load with the version that the server has now.
type requestedLoad struct {
	load    masticplace.Load
	current int64
}

// Bounds of the concurrent orders to one pool. The largest numbers of concurrent loads at full
// speed in known installations are 3 of 18 servers, 2 of 9, 17 of 89 and 18 of 90. An order spends
// about half of its time waiting for the requests in progress.
const (
	serversPerLoad = 3.5
	minPoolLoads   = 2
)

// maxPoolLoads returns how many servers of a pool may load at once.
func (p *placement) maxPoolLoads(pool string) int {
	return max(minPoolLoads, int(float64(p.poolSizes[pool])/serversPerLoad+0.5))
}

// countPools counts the servers of each pool.
func (p *placement) countPools(servers []masticview.Server) {
	p.poolSizes = map[string]int{}
	for _, s := range servers {
		p.poolSizes[s.Service]++
	}
}

// requestedLoad returns the load to request for s, and whether there is one. Backend servers that
// list several models are loaded by their operator.
func (p *placement) requestedLoad(s masticview.Server) (masticplace.Load, bool) {
	l := masticplace.Load{Server: s.Name, Owner: s.Owner, WeightsVersion: s.WeightsVersion, ChecksFencing: s.ChecksFencing}
	if s.Service != "" {
		return p.requestedPoolLoad(s)
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

// requestedPoolLoad returns the load to request for a server of a pool: the newest version set for the weights of a model of
// which it has an older one. A server takes one order at a time; the model whose version was named first goes first.
func (p *placement) requestedPoolLoad(s masticview.Server) (masticplace.Load, bool) {
	l := masticplace.Load{Server: s.Name, Owner: s.Service, ChecksFencing: s.ChecksFencing}
	if s.Kind != masticview.ServerEngine || s.State != masticview.ServerActive {
		return l, false
	}
	var first masticview.Weights
	for _, m := range s.Models {
		newest, ok := p.leader.loop.state.View().Weights(m)
		if !ok || newest.Version <= versionNumber(s.VersionOf(m)) {
			continue
		}
		if first.Model == "" || newest.NamedAt.Before(first.NamedAt) {
			first = newest
		}
	}
	l.Model, l.WeightsVersion = first.Model, strconv.FormatInt(first.Version, 10)
	return l, first.Model != ""
}

// newer reports whether weights version a is a higher number than b.
func newer(a, b string) bool {
	return versionNumber(a) > versionNumber(b)
}

// versionNumber returns a weights version as a number, or zero if it is not one.
func versionNumber(version string) int64 {
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

// log writes a decision. Loads that have to wait are logged too, without the field fence.
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

// applied queues a committed order for the senders, and reports a completed one to the planner.
func (p *placement) applied(now time.Time, o *masticproto.LoadOrder) {
	order := masticplace.OrderFromProto(o)
	if o.GetDone() {
		p.planner.Done(order.Server, order.Fence)
		p.nextPlan = now
		return
	}
	server, ok := p.leader.loop.state.View().Server(order.Server)
	if !ok || order.Fence.Term != p.leader.term {
		return
	}
	if err := p.leader.loop.orders.Offer(loadOrder{p.leader.orders, server, order}); err != nil {
		p.leader.loop.log.WithError(err).WithField("server", order.Server).Warn("load order not queued for sending; it expires at its deadline")
	}
}

// loadOrder is a committed order to send, until its context ends with the lease of its leader.
type loadOrder struct {
	context context.Context
	server  masticview.Server
	order   masticplace.Order
}

// failedLoadCooldown is the time before a backend server whose load failed is given another
// order.
const failedLoadCooldown = time.Second

// failed ends a failed order, so that another backend server can load in its place.
func (p *placement) failed(now time.Time, o masticplace.Order) {
	if o.Fence.Term == p.leader.term {
		p.planner.Failed(o.Server, o.Fence, now.Add(failedLoadCooldown))
		p.nextPlan = now
	}
}

// loadSender sends committed orders and reports their completion or failure to the loop.
type loadSender struct {
	loop   *loop
	orders *masticring.Ring[loadOrder]
}

func (s *loadSender) run() {
	defer s.loop.backgroundTasks.Done()
	for o := range s.orders.Out() {
		s.send(o)
	}
}

func (s *loadSender) send(o loadOrder) {
	ctx, cancel := context.WithDeadline(o.context, o.order.Deadline)
	defer cancel()
	log := s.loop.log.WithField("server", o.order.Server).WithField("fence", o.order.Fence)
	err := s.loop.loader.Load(ctx, o.server, o.order)
	s.loop.counters.recordOrder(err)
	if err != nil {
		log.WithError(err).Warn("load order failed")
		if errors.Is(err, masticplace.ErrServerLeaving) {
			s.commit(ctx, log, &masticproto.Command{Kind: &masticproto.Command_Leaving{Leaving: &masticproto.ServerLeaving{
				Server: o.server.Name, Incarnation: o.server.Incarnation,
			}}})
		}
		if err := s.loop.failedLoads.Offer(o); err != nil {
			log.WithError(err).Warn("failure of a load order not recorded; the order expires at its deadline")
		}
		return
	}
	log.Info("load order done")
	s.commit(ctx, log, &masticproto.Command{Kind: &masticproto.Command_Load{Load: o.order.ToProto(true)}})
}

// commit has the loop commit what came of an order.
func (s *loadSender) commit(ctx context.Context, log logrus.FieldLogger, command *masticproto.Command) {
	c := newCall(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: command}})
	if err := s.loop.queues.offer(c); err != nil {
		log.WithError(err).Warn("outcome of a load order not recorded; the order expires at its deadline")
		return
	}
	if _, err := c.wait(); err != nil {
		log.WithError(err).Warn("outcome of a load order not recorded; the order expires at its deadline")
	}
}
