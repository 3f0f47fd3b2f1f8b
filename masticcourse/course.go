package masticcourse

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticerror"
	"masticladder/masticretry"
	"masticladder/masticview"
)

// Course serves calls from the view of its host. It is safe for concurrent use.
type Course struct {
	// lease is nil where the course serves without one.
	lease      masticcall.Views
	limiter    masticcall.Limiter
	dispatcher masticcall.Dispatcher
	client     *masticbackend.Client
	backends   Backends
	callers    Callers
	log        logrus.FieldLogger
	measures   *measures

	table atomic.Pointer[table]
	first firstDocument

	mutex  sync.Mutex
	budget *masticretry.Budget
	random *rand.Rand

	// startedAt is when the host began; a document comes some time after.
	startedAt time.Time

	running  atomic.Int64
	draining atomic.Bool
}

// Option sets one property of a Course.
type Option func(*Course)

// WithLease makes the course refuse callers while the host's view lease does not hold; without
// it a host out of control's reach serves on from the view it has.
func WithLease(v masticcall.Views) Option { return func(c *Course) { c.lease = v } }

// WithLimiter sets what admits requests within their workspaces' rates.
func WithLimiter(l masticcall.Limiter) Option { return func(c *Course) { c.limiter = l } }

// WithDispatcher sets what assigns backend servers.
func WithDispatcher(d masticcall.Dispatcher) Option { return func(c *Course) { c.dispatcher = d } }

// WithClient sets the connections to backend servers.
func WithClient(b *masticbackend.Client) Option { return func(c *Course) { c.client = b } }

// WithBackends sets the protocol of backend servers.
func WithBackends(b Backends) Option { return func(c *Course) { c.backends = b } }

// WithCallers sets the protocol of callers.
func WithCallers(x Callers) Option { return func(c *Course) { c.callers = x } }

// WithLog sets the log.
func WithLog(l logrus.FieldLogger) Option { return func(c *Course) { c.log = l } }

// WithMetrics counts the requests in r.
func WithMetrics(r metrics.Registry) Option { return func(c *Course) { c.measures = newMeasures(r) } }

// New returns a Course.
func New(options ...Option) *Course {
	c := &Course{
		log:       logrus.StandardLogger(),
		first:     firstDocument{documented: make(chan struct{})},
		budget:    masticretry.NewBudget(),
		startedAt: time.Now(),
		measures:  newMeasures(metrics.NewRegistry()),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// table is what the requests under one view are served from. It is immutable.
type table struct {
	revision uint64
	index    *masticdocument.Index
	// services are the plain services by pool, with the names of their servers.
	services map[string]masticview.Service
}

// SetView makes the course serve from v.
func (c *Course) SetView(v masticview.View) {
	t := &table{revision: v.Revision(), services: map[string]masticview.Service{}}
	old := c.table.Load()
	switch {
	case v.Document() == nil:
	case old != nil && old.index.Number() == v.Document().GetNumber():
		t.index = old.index
	default:
		d, err := masticdocument.FromProto(v.Document())
		if err != nil {
			c.log.WithError(err).Error("a committed document could not be read")
			return
		}
		t.index = masticdocument.NewIndex(d)
		c.log.WithField("number", d.Number).WithField("revision", v.Revision()).
			WithField("routes", len(d.Routes)).WithField("workspaces", len(d.Tenants)).Info("document in force")
	}
	for _, s := range v.Servers() {
		if s.Kind != masticview.ServerService || s.State != masticview.ServerActive {
			continue
		}
		x := t.services[s.Service]
		x.Name = s.Service
		x.Servers = append(x.Servers, s.Name)
		t.services[s.Service] = x
	}
	c.table.Store(t)
	if t.index != nil {
		c.first.tell()
	}
}

// Ready reports whether the host can serve: it has a document and does not drain.
func (c *Course) Ready() bool {
	t := c.table.Load()
	return t != nil && t.index != nil && !c.draining.Load()
}

// Drain makes the course not ready; it goes on serving what still comes.
func (c *Course) Drain() { c.draining.Store(true) }

// Running returns the number of requests under way.
func (c *Course) Running() int64 { return c.running.Load() }

// Limits returns the limits of the document, and false while there is none.
func (c *Course) Limits() (masticdocument.Limits, bool) {
	t := c.table.Load()
	if t == nil || t.index == nil {
		return masticdocument.Limits{}, false
	}
	return t.index.Limits(), true
}

// pick returns one of the targets, at random by their weights.
func (c *Course) pick(targets []masticdocument.Target) string {
	if len(targets) == 1 {
		return targets[0].Pool
	}
	var sum int64
	for _, t := range targets {
		sum += t.Weight
	}
	c.mutex.Lock()
	n := c.random.Int64N(sum)
	c.mutex.Unlock()
	for _, t := range targets {
		if n -= t.Weight; n < 0 {
			return t.Pool
		}
	}
	return targets[len(targets)-1].Pool
}

// firstAttempt records a first attempt for pool; again takes a repeated one from its budget.
func (c *Course) firstAttempt(pool string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.budget.First(pool)
}

func (c *Course) again(pool string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.budget.Retry(pool)
}

// soon returns a time to come back at for callers that another host may serve, spread so
// that they do not return at once.
func (c *Course) soon() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return comeBackLeast + time.Duration(c.random.Int64N(int64(comeBackSpread)))
}

// Bounds of the time to come back after a refusal that does not last: another host or the
// next view may serve the caller. Callers with 1 s take at most a third of it.
const (
	comeBackLeast  = 60 * time.Millisecond
	comeBackSpread = 140 * time.Millisecond
)

const (
	// documentSpan is after how long a host that starts with all others has a document: 0.45 s
	// where all were killed, 0.9 s where the power was off and hosts start up to 0.3 s apart.
	documentSpan = 900 * time.Millisecond
	// documentPatience is for how long a request waits for the first document: it is answered
	// in time then, while one that comes back later is late.
	documentPatience = 350 * time.Millisecond
)

// documented returns the table to serve from. Before the first document it waits for it.
func (c *Course) documented(ctx context.Context) (*table, *masticerror.Error) {
	if t := c.table.Load(); t != nil && t.index != nil {
		return t, nil
	}
	timer := time.NewTimer(documentPatience)
	defer timer.Stop()
	select {
	case <-c.first.documented:
		return c.table.Load(), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	wait := max(0, time.Until(c.startedAt.Add(documentSpan)))
	return nil, masticerror.New(masticerror.KindNoLease, "this host has no document yet").WithRetryAfter(wait + c.soon())
}

// firstDocument tells waiting requests of the first document.
type firstDocument struct {
	documented chan struct{}
	once       sync.Once
}

func (f *firstDocument) tell() { f.once.Do(f.close) }

func (f *firstDocument) close() { close(f.documented) }

func unavailable(c *Course, k masticerror.Kind, format string, args ...any) *masticerror.Error {
	return masticerror.New(k, format, args...).WithRetryAfter(c.soon())
}

// Rate returns the rate and burst that the document states for a workspace.
func (c *Course) Rate(workspace string) (rate, burst int64) {
	t := c.table.Load()
	if t == nil || t.index == nil {
		return 0, 0
	}
	x, _ := t.index.Tenant(workspace)
	return x.RateTokensPerSecond, x.BurstTokens
}
