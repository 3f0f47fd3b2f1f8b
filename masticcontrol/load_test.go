package masticcontrol_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// publisher publishes one new workspace after another until it is stopped, and records the
// accepted ones. A publish without a definite answer is sent again with the same request
// identifier.
type publisher struct {
	cluster  *cluster
	agent    *client
	name     string
	ended    context.Context
	running  sync.WaitGroup
	accepted []string
	// count is the number of accepted publishes, longest the longest time between two of them.
	count   atomic.Int64
	longest time.Duration
}

func (p *publisher) run() {
	defer p.running.Done()
	last := time.Now()
	for i := 0; p.ended.Err() == nil; i++ {
		name := fmt.Sprintf("%s-%d", p.name, i)
		for p.ended.Err() == nil {
			ctx, cancel := context.WithTimeout(p.ended, 2*time.Second)
			_, err := p.agent.Operator().Publish(ctx, name, 0, workspaceChange(name))
			cancel()
			if err == nil {
				p.accepted = append(p.accepted, name)
				p.count.Add(1)
				p.longest = max(p.longest, time.Since(last))
				last = time.Now()
				break
			}
		}
	}
}

func workspaceChange(name string) *masticproto.ViewChange {
	return &masticproto.ViewChange{Workspaces: []*masticproto.Workspace{
		{Name: name, Owner: "association", RateTokensPerSecond: 1000, BurstTokens: 10_000},
	}}
}

// dispatches counts how often each order was dispatched.
type dispatches struct {
	mutex sync.Mutex
	count map[string]int
}

func (r *dispatches) add(key string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count[key]++
}

// orderer sends the same orders as the other orderers, retrying each until it is done or its
// outcome is unknown.
type orderer struct {
	agent      *client
	dispatches *dispatches
	ended      context.Context
	running    sync.WaitGroup
	done       atomic.Int64
}

func (o *orderer) run() {
	defer o.running.Done()
	for i := 0; o.ended.Err() == nil; i++ {
		o.order(fmt.Sprintf("order-%d", i))
	}
}

func (o *orderer) order(key string) {
	k := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: key}
	for o.ended.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ended, time.Second)
		r, err := o.agent.Ledger().Reserve(ctx, k, masticview.DigestOf([]byte(key)), time.Now().Add(10*time.Second))
		if err == nil && r.State == masticcall.OrderReserved {
			o.dispatches.add(key)
			_ = o.agent.Ledger().Record(ctx, k, &masticcall.StoredAnswer{Status: 201, Body: []byte(key)})
		}
		cancel()
		if err == nil && (r.State == masticcall.OrderDone || r.State == masticcall.OrderUnknown) {
			o.done.Add(1)
			return
		}
	}
}

// load is a publisher and an orderer on each of some agents.
type load struct {
	publishers []*publisher
	orderers   []*orderer
	dispatches *dispatches
	cancel     context.CancelFunc
}

func (c *cluster) startLoad(agents ...*client) *load {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	l := &load{dispatches: &dispatches{count: map[string]int{}}, cancel: cancel}
	for i, a := range agents {
		p := &publisher{cluster: c, agent: a, name: fmt.Sprintf("w%d", i), ended: ctx}
		o := &orderer{agent: a, dispatches: l.dispatches, ended: ctx}
		l.publishers, l.orderers = append(l.publishers, p), append(l.orderers, o)
		p.running.Add(1)
		o.running.Add(1)
		go p.run()
		go o.run()
	}
	return l
}

// progress waits until every publisher and orderer has received n more answers.
func (l *load) progress(c *cluster, n int64) {
	c.t.Helper()
	targets := map[*atomic.Int64]int64{}
	for i := range l.publishers {
		targets[&l.publishers[i].count] = l.publishers[i].count.Load() + n
		targets[&l.orderers[i].done] = l.orderers[i].done.Load() + n
	}
	c.eventually("progress of the load", func() bool {
		for counter, target := range targets {
			if counter.Load() < target {
				return false
			}
		}
		return true
	})
}

// check stops the load and checks that every accepted change is in the view of a and that no
// order was dispatched twice.
func (l *load) check(c *cluster, a *client) {
	c.t.Helper()
	l.cancel()
	for i := range l.publishers {
		l.publishers[i].running.Wait()
		l.orderers[i].running.Wait()
	}
	c.publish(a, "last", workspaceChange("last"))
	c.eventually("the last change", func() bool { _, ok := a.View().Workspace("last"); return ok })
	for _, p := range l.publishers {
		for _, name := range p.accepted {
			if _, ok := a.View().Workspace(name); !ok {
				c.t.Errorf("accepted change %s is missing", name)
			}
		}
		c.t.Logf("%s: %d accepted, longest wait %v", p.name, len(p.accepted), p.longest)
	}
	for key, n := range l.dispatches.count {
		if n > 1 {
			c.t.Errorf("order %s ran %d times", key, n)
		}
	}
	c.t.Logf("%d orders ran", len(l.dispatches.count))
}
