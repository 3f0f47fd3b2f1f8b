package masticrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"masticladder/masticbackend"
	"masticladder/masticbody"
	"masticladder/masticcall"
	"masticladder/masticcaller"
	"masticladder/masticclock"
	"masticladder/masticdetector"
	"masticladder/masticdocument"
	"masticladder/masticdrain"
	"masticladder/masticerror"
	"masticladder/masticretry"
	"masticladder/masticrollout"
	"masticladder/masticview"
)

// Relay serves calls from the view of its host. It is safe for concurrent use.
type Relay struct {
	// lease is nil if calls are served without a view lease.
	lease masticcall.Views
	// freshness is nil if the view always counts as the newest one.
	freshness  Freshness
	limiter    masticcall.Limiter
	dispatcher masticcall.Dispatcher
	// suspects and holds are nil if hosts do not share which requests end backend servers.
	suspects masticcall.SuspectReporter
	holds    masticcall.Holds
	client   *masticbackend.Client
	// statements is nil if what backend servers state about themselves is not observed.
	statements masticcall.StatementObserver
	checks     masticcall.CheckObserver
	// origins is nil if streams may go on at any software version.
	origins masticcall.Origins
	// traffic places requests while a rollout moves them to another version; nil without rollouts.
	traffic  *masticrollout.Traffic
	leased   func(now time.Time) bool
	backends BackendProtocol
	callers  CallerProtocol
	// bodies bounds the bodies of all calls together.
	bodies *masticbody.Budget
	// answers bounds the parts of events of all answers together; nil means no limit.
	answers *masticbody.Budget
	log     logrus.FieldLogger
	metrics *requestMetrics

	detector *masticdetector.Detector
	// verifying are the servers that are checked because they may be leaving, by name.
	verifying map[string]masticview.Server
	// trials counts the trials that were given up and whose holds are not released yet, and the servers in verifying.
	// closing is cancelled with the mutex held, after which none is added.
	trials        sync.WaitGroup
	closing       context.Context
	cancel        context.CancelFunc
	table         atomic.Pointer[routingTable]
	firstDocument firstDocument

	mutex  sync.Mutex
	budget *masticretry.Budget
	random *rand.Rand

	// startedAt is when the host started; the first document arrives some time later.
	startedAt time.Time

	requests masticdrain.Requests
	draining atomic.Bool
	plan     masticdrain.Plan
}

// Option sets one property of a Relay.
type Option func(*Relay)

// WithLease makes the relay refuse calls while the host has no valid view lease. Without it,
// a host that cannot reach the control group keeps serving from its last view.
func WithLease(v masticcall.Views) Option { return func(c *Relay) { c.lease = v } }

// WithLimiter sets the limiter, which admits requests within the rates of their workspaces.
func WithLimiter(l masticcall.Limiter) Option { return func(c *Relay) { c.limiter = l } }

// WithCheckObserver sets the receiver of the checks that backend servers answer.
func WithCheckObserver(o masticcall.CheckObserver) Option {
	return func(c *Relay) { c.checks = o }
}

// WithDispatcher sets the dispatcher, which assigns backend servers.
func WithDispatcher(d masticcall.Dispatcher) Option { return func(c *Relay) { c.dispatcher = d } }

// WithSuspects sets the receiver of requests under which a backend server ended, and the exclusive
// holds of servers for requests that have ended several.
func WithSuspects(s masticcall.SuspectReporter, h masticcall.Holds) Option {
	return func(c *Relay) { c.suspects, c.holds = s, h }
}

// WithStatementObserver sets the receiver of what backend servers state about themselves.
func WithStatementObserver(o masticcall.StatementObserver) Option {
	return func(c *Relay) { c.statements = o }
}

// WithOrigins sets the records of which software version began a stream. Without it, streams that may be
// resumed go on at any version.
func WithOrigins(o masticcall.Origins) Option { return func(c *Relay) { c.origins = o } }

// WithClient sets the client for requests to backend servers.
func WithClient(b *masticbackend.Client) Option { return func(c *Relay) { c.client = b } }

// WithBackends sets the protocol of backend servers.
func WithBackends(b BackendProtocol) Option { return func(c *Relay) { c.backends = b } }

// WithRetryBudget sets the budget of retries, which is kept by pool.
func WithRetryBudget(b *masticretry.Budget) Option { return func(c *Relay) { c.budget = b } }

// WithCallers sets the protocol of callers.
func WithCallers(x CallerProtocol) Option { return func(c *Relay) { c.callers = x } }

// WithBodyBudget sets the budget of the bodies of all calls, of DefaultBodyBytes otherwise.
func WithBodyBudget(b *masticbody.Budget) Option { return func(c *Relay) { c.bodies = b } }

// WithAnswerBudget sets the budget of the parts of events that are in memory, beyond some KiB for each stream.
func WithAnswerBudget(b *masticbody.Budget) Option { return func(c *Relay) { c.answers = b } }

// WithLog sets the logger; the default is logrus.StandardLogger.
func WithLog(l logrus.FieldLogger) Option { return func(c *Relay) { c.log = l } }

// WithMetrics registers the request metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Relay) { c.metrics = newRequestMetrics(r) }
}

// DefaultBodyBytes is the default of WithBodyBudget.
const DefaultBodyBytes = 64 << 20

// Bodies returns the budget from which codecs read the bodies of calls.
func (c *Relay) Bodies() *masticbody.Budget { return c.bodies }

// New returns a Relay that has no document yet.
func New(options ...Option) *Relay {
	c := &Relay{
		log:           logrus.StandardLogger(),
		firstDocument: firstDocument{available: make(chan struct{})},
		budget:        masticretry.NewBudget(),
		bodies:        masticbody.NewBudget(DefaultBodyBytes),
		startedAt:     time.Now(),
		verifying:     map[string]masticview.Server{},
		metrics:       newRequestMetrics(metrics.NewRegistry()),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	c.closing, c.cancel = context.WithCancel(context.Background())
	for _, o := range options {
		o(c)
	}
	var reporter masticcall.SuspectReporter = noReports{}
	if c.suspects != nil {
		reporter = c.suspects
	}
	c.detector = masticdetector.New(&livenessChecker{relay: c}, reporter, masticdetector.WithLog(c.log))
	return c
}

// Close ends the checks of failed backend servers.
func (c *Relay) Close() {
	c.mutex.Lock()
	c.cancel()
	c.mutex.Unlock()
	c.trials.Wait()
	c.detector.Close()
}

// routingTable is what requests are served from under one view. It is immutable.
type routingTable struct {
	view  masticview.View
	index *masticdocument.Index
	// services maps each pool to its plain service, with the names of its active servers.
	services map[string]masticview.Service
	// software maps each service to the software versions of its servers.
	software map[string]serviceSoftware
}

// SetView makes the relay serve from v.
func (c *Relay) SetView(v masticview.View) {
	old := c.table.Load()
	t := &routingTable{view: v, services: map[string]masticview.Service{}}
	if old != nil {
		t.software = old.software
	}
	t.software = serviceSoftwareOf(v, t.software, time.Now().Add(v.TakeUpTime()))
	switch {
	case v.Document() == nil:
	case old != nil && old.index.Number() == v.Document().GetNumber():
		t.index = old.index
	default:
		d, err := masticdocument.FromProto(v.Document())
		if err != nil {
			c.log.WithError(err).Error("failed to parse a committed document; keeping the previous view")
			return
		}
		t.index = masticdocument.NewIndex(d)
		c.log.WithField("number", d.Number).WithField("revision", v.Revision()).
			WithField("routes", len(d.Routes)).WithField("workspaces", len(d.Workspaces)).WithField("cacheGeneration", v.CacheGeneration()).Info("document in force")
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
	if c.traffic != nil {
		c.traffic.SetView(v)
	}
	c.detector.SetView(v)
	if t.index != nil {
		c.firstDocument.notify()
	}
}

// SetSuspects applies the requests that all hosts together suspect of ending backend servers.
func (c *Relay) SetSuspects(digests []masticview.Digest) { c.detector.SetSuspects(digests) }

// Ready reports whether the host can serve: it has a document and is not draining.
func (c *Relay) Ready() bool {
	t := c.table.Load()
	return t != nil && t.index != nil && !c.draining.Load()
}

// Drain makes Ready report false. Requests that still arrive are served, and their responses announce that
// the connection closes. Idle connections stay open: a request may be under way on each.
func (c *Relay) Drain() { c.draining.Store(true) }

// Leave makes the relay refuse requests that may not be repeated and whose deadline is after endsAt, when the host ends:
// they might be cut. Requests without an answer by then are told so.
func (c *Relay) Leave(endsAt time.Time) { c.plan.Leave(endsAt) }

// RefuseBeyondEnd makes the relay refuse all requests whose deadline is after the end given to Leave. It is called once
// callers have had time to find other hosts.
func (c *Relay) RefuseBeyondEnd() { c.plan.RefuseBeyondEnd() }

// EndBy makes the relay refuse all requests whose deadline is after endsAt, unless Leave has set an earlier end.
func (c *Relay) EndBy(endsAt time.Time) { c.plan.EndBy(endsAt) }

// endError returns the refusal of a request of a route that this host might not complete by the given deadline.
func (c *Relay) endError(route masticdocument.Route, deadline time.Time) *masticerror.Error {
	if !c.plan.Refuses(deadline, repeatOf(route)) {
		return nil
	}
	return c.endingError()
}

// endingError returns the refusal of a request because the host ends; another host can serve it at once.
func (c *Relay) endingError() *masticerror.Error {
	return masticdrain.Refusal().WithRetryAfter(c.retryAfter())
}

func repeatOf(route masticdocument.Route) masticdrain.Repeat {
	return masticdrain.Repeat(route.Repeat != masticdocument.RetryNever)
}

// announceClose adds to the header of a response that its connection closes, if the host is draining.
func (c *Relay) announceClose(h http.Header) {
	if c.draining.Load() {
		h.Set("Connection", "close")
	}
}

// Begin counts a call as running from before its body is read until the returned request ends.
func (c *Relay) Begin(call *Call) *masticdrain.Request {
	call.Running = c.requests.Begin(call.ID, call.Received)
	return call.Running
}

// Running returns the number of running calls.
func (c *Relay) Running() int64 { return int64(c.requests.Running()) }

// Requests returns the running calls.
func (c *Relay) Requests() *masticdrain.Requests { return &c.requests }

// Limits returns the limits of the document, and false while there is no document.
func (c *Relay) Limits() (masticdocument.Limits, bool) {
	t := c.table.Load()
	if t == nil || t.index == nil {
		return masticdocument.Limits{}, false
	}
	return t.index.Limits(), true
}

// Deadline returns when the call must be answered: at its own deadline, or when the timeout of its route
// has passed. The body must have arrived by then too.
func (c *Relay) Deadline(call *Call) time.Time {
	if t := c.table.Load(); t != nil && t.index != nil {
		if route, ok := t.index.Route(call.Host, call.Path); ok {
			return deadlineOf(route, call)
		}
	}
	return call.Deadline
}

func deadlineOf(route masticdocument.Route, call *Call) time.Time {
	d := call.Received.Add(route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(d) {
		return call.Deadline
	}
	return d
}

// ReceivedAt returns when the bytes of a request arrived that is read at now. Its caller's deadline counts from then, not from when
// the host has read it.
func (c *Relay) ReceivedAt(connection *masticcaller.Connection, now time.Time) time.Time {
	delay := connection.SinceData()
	c.metrics.readDelay.Update(delay.Milliseconds())
	return now.Add(-delay)
}

// recordFirstAttempt adds a first attempt to the retry budget, which is kept by pool.
func (c *Relay) recordFirstAttempt(pool string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.metrics.firstAttempts.Inc(1)
	c.budget.RecordFirstAttempt(pool)
}

// takeRetry takes a retry from the budget of pool. It reports false if the budget is exhausted.
func (c *Relay) takeRetry(pool string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.budget.TakeRetry(pool)
}

// retriesLeft returns the rest of the retry budget of pool.
func (c *Relay) retriesLeft(pool string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.budget.Left(pool)
}

// retryAfter returns how long a caller should wait before it retries, for refusals that may not
// occur on another host. It is jittered so that callers do not retry all at once.
func (c *Relay) retryAfter() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return minRetryAfter + time.Duration(c.random.Int64N(int64(retryAfterJitter)))
}

// Bounds of the retry delay after a temporary refusal: another host or the next view may serve
// the caller. The delay is less than 200 ms, a fifth of a deadline of 1 s.
const (
	minRetryAfter    = 60 * time.Millisecond
	retryAfterJitter = 140 * time.Millisecond
)

// leaseError returns a refusal if calls need a view lease and this host's has ended.
func (c *Relay) leaseError() *masticerror.Error {
	if c.lease != nil && !c.lease.Leased(masticclock.Now()) {
		return unavailable(c, masticerror.KindNoLease, "this host's view lease has ended")
	}
	return nil
}

// unavailable returns an error of kind k that asks the caller to retry after a short delay.
func unavailable(c *Relay, k masticerror.Kind, format string, args ...any) *masticerror.Error {
	return masticerror.New(k, format, args...).WithRetryAfter(c.retryAfter())
}

// Rate returns the rate, in tokens per second, and the burst, in tokens, that the document
// states for a workspace.
func (c *Relay) Rate(workspace string) (rate float64, burst int64) {
	t := c.table.Load()
	if t == nil || t.index == nil {
		return 0, 0
	}
	x, _ := t.index.Workspace(workspace)
	return x.Rate(), x.BurstTokens
}
