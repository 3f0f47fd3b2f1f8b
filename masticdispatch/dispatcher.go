// Package masticdispatch runs the scheduler of one host. One goroutine owns queue, router,
// server health and cache index; all access goes through one bounded channel of commands.
package masticdispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

// inboxLength is the capacity of the loop's command channel. When it is full, new requests are
// refused as overloaded, reports and cache events are dropped, and all other commands, such as
// the end of a request, block until there is room.
const inboxLength = 1024

// command is a change that the loop applies to the scheduler. After each command, the loop
// delivers the scheduler's outcomes to their waiters.
type command interface {
	apply(d *Dispatcher, now time.Time)
}

// Dispatcher implements masticcall.Dispatcher.
type Dispatcher struct {
	scheduler *masticschedule.Scheduler
	inbox     chan command
	stop      chan struct{}
	stopped   chan struct{}
	// waiters are the reply channels of requests without an outcome. Only the loop uses them.
	waiters       map[masticschedule.Ticket]chan<- masticschedule.Outcome
	ticket        masticschedule.Ticket
	log           *logrus.Entry
	seed          uint64
	routerOptions []masticroute.Option
	// scheduleOptions are those of the scheduler.
	scheduleOptions []masticschedule.Option
	drops           *Drops
	placements      *Placements
	reportDue       chan struct{}
	// limited are the backend servers that state a request rate.
	limited atomic.Pointer[map[string]bool]
	// leavingServers are the incarnations, by server name, that stated that they are leaving; leaving
	// receives them, and may be nil.
	leavingServers sync.Map
	leaving        LeavingReporter
	// unverified has the names of the servers of which a check is to tell whether their incarnation is leaving; verifier
	// makes it, and may be nil.
	unverified sync.Map
	verifier   LeavingVerifier
	host       string
	sharding   sharding
	takeover   takeover
}

// Option configures New.
type Option func(*Dispatcher)

// WithLog sets the log for routing decisions.
func WithLog(l *logrus.Entry) Option { return func(d *Dispatcher) { d.log = l } }

// WithSeed sets the seed for the random choice of candidates. Hosts should use different seeds.
func WithSeed(seed uint64) Option { return func(d *Dispatcher) { d.seed = seed } }

// WithSharedLoad makes the router take the work of all hosts into account, as reported to
// ApplyPeerReport.
func WithSharedLoad() Option {
	return func(d *Dispatcher) { d.routerOptions = append(d.routerOptions, masticroute.WithSharedLoad()) }
}

// WithOldWeightsTimeout sets how long after the announcement of new weights backend servers may start requests on
// older ones.
func WithOldWeightsTimeout(t time.Duration) Option {
	return func(d *Dispatcher) {
		d.scheduleOptions = append(d.scheduleOptions, masticschedule.WithOldWeightsTimeout(t))
	}
}

// WithHost sets the name of this host, under which it shares the request rates of backend servers and
// coordinates shards.
func WithHost(name string) Option {
	return func(d *Dispatcher) {
		d.host = name
		d.routerOptions = append(d.routerOptions, masticroute.WithHost(name))
	}
}

// New returns a Dispatcher. It serves requests once Run is called.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{
		inbox:      make(chan command, inboxLength),
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
		waiters:    map[masticschedule.Ticket]chan<- masticschedule.Outcome{},
		log:        logrus.NewEntry(logrus.StandardLogger()),
		seed:       uint64(time.Now().UnixNano()),
		drops:      newDrops(),
		takeover:   newTakeover(),
		placements: newPlacements(),
		reportDue:  make(chan struct{}, 1),
		sharding:   sharding{lastID: rand.Uint64(), cooldowns: map[string]time.Time{}, busyUntil: map[string]time.Time{}, assigned: map[assignmentKey]assignedRequest{}},
	}
	for _, o := range options {
		o(d)
	}
	d.scheduler = masticschedule.New(masticroute.New(append(d.routerOptions, masticroute.WithSeed(d.seed))...), d.scheduleOptions...)
	return d
}

// Acquire queues r and waits until a backend server is assigned to it. An error means that r
// was not run.
func (d *Dispatcher) Acquire(ctx context.Context, r masticcall.Request) (masticcall.Assignment, error) {
	prompt := masticprompt.Cut(r.Levels)
	if a := d.acquireFromShards(ctx, r, prompt); a != nil {
		return a, nil
	}
	r.Levels = nil
	reply := make(chan masticschedule.Outcome, 1)
	o, err := d.sendAndWait(ctx, &submit{request: r, prompt: prompt, reply: reply}, reply)
	if err != nil {
		d.logRefusal(r, err)
		return nil, err
	}
	if o.Err != nil {
		d.logRefusal(r, o.Err)
		return nil, o.Err
	}
	d.logDecision(r, &o)
	a := d.assignment(o, r.Workspace, r.Class)
	if d.Sharded() {
		d.takeover.add(a)
	}
	return a, nil
}

// AcquireService assigns a backend server of a plain service. An error means that the call was
// not run.
func (d *Dispatcher) AcquireService(ctx context.Context, service masticview.Service, avoid []string) (masticcall.Assignment, error) {
	reply := make(chan masticschedule.Outcome, 1)
	o, err := d.sendAndWait(ctx, &submitService{service: service, avoid: avoid, reply: reply}, reply)
	if err != nil {
		return nil, err
	}
	d.logService(service, &o)
	if o.Err != nil {
		return nil, o.Err
	}
	return d.assignment(o, "", ""), nil
}

// sendAndWait sends c to the loop and waits for its outcome on reply. If ctx ends first, the
// request of c is cancelled. It does not block on a full inbox.
func (d *Dispatcher) sendAndWait(ctx context.Context, c command, reply <-chan masticschedule.Outcome) (masticschedule.Outcome, error) {
	select {
	case d.inbox <- c:
	case <-d.stopped:
		return masticschedule.Outcome{}, stoppedError()
	default:
		return masticschedule.Outcome{}, masticerror.New(masticerror.KindOverloaded, "the dispatcher's inbox is full")
	}
	select {
	case o := <-reply:
		return o, nil
	case <-d.stopped:
		return masticschedule.Outcome{}, stoppedError()
	case <-ctx.Done():
		d.send(&cancelRequest{reply: reply, submitted: c})
		return masticschedule.Outcome{}, contextError(ctx)
	}
}

func stoppedError() error {
	return masticerror.New(masticerror.KindDraining, "the dispatcher has stopped")
}

func contextError(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return masticerror.New(masticerror.KindDeadline, "deadline passed in the queue")
	}
	return masticerror.New(masticerror.KindCancelled, "the caller went away while queued")
}

// send sends a command that must not be lost. It blocks while the inbox is full.
func (d *Dispatcher) send(c command) {
	select {
	case d.inbox <- c:
	case <-d.stopped:
	}
}

// trySend sends a command, or drops and counts it if the inbox is full.
func (d *Dispatcher) trySend(kind DropKind, c command) {
	select {
	case d.inbox <- c:
	case <-d.stopped:
	default:
		d.drops.add(kind)
	}
}

// SetView replaces the view. From then on, leaving backend servers get no new requests.
func (d *Dispatcher) SetView(v masticview.View) { d.send(&setView{v}) }

// SetSuspects replaces the digests of requests suspected of crashing backend servers.
func (d *Dispatcher) SetSuspects(digests []masticview.Digest) { d.send(&setSuspects{digests}) }

// Report applies a load report of a backend server. It is dropped if the inbox is full.
func (d *Dispatcher) Report(r masticroute.LoadReport) { d.trySend(DropReport, &loadReport{r}) }

// Events applies cache events from an incarnation of the named backend server. They are
// dropped if the inbox is full.
func (d *Dispatcher) Events(server, incarnation string, b masticcache.Batch) {
	d.trySend(DropEvents, &cacheEvents{server, incarnation, b})
}

// PartEvents applies what a backend server or store reports of the parts in its cache; reset reports that the
// cache was emptied before. It waits for room in the inbox.
func (d *Dispatcher) PartEvents(server string, reset bool, events []masticcache.PartEvent) {
	d.send(&partEvents{server, reset, events})
}

// Probe applies the result of a health probe.
func (d *Dispatcher) Probe(server, incarnation string, alive bool) {
	d.send(&probeResult{server, incarnation, alive})
}

// ApplyPeerReport applies another host's report of its running work. It is dropped if the inbox is
// full.
func (d *Dispatcher) ApplyPeerReport(p masticroute.PeerReport) { d.trySend(DropReport, &peerReport{p}) }

// TakeOwnReport returns this host's report for its peers, or false once the dispatcher has stopped.
func (d *Dispatcher) TakeOwnReport(host string) (masticroute.PeerReport, bool) {
	c := &getOwnReport{host: host, reply: make(chan masticroute.PeerReport, 1)}
	d.send(c)
	select {
	case p := <-c.reply:
		return p, true
	case <-d.stopped:
		return masticroute.PeerReport{}, false
	}
}

// immediateReportTokens is the prompt length from which a placement is reported to other hosts
// immediately: the prompt occupies an engine for some 100 ms, and other engines need not
// compute its shared prefix again.
const immediateReportTokens = 4096

// ReportDue signals that this host's report should be sent to other hosts immediately, because a
// long prompt was placed or a backend server was found to have ended.
func (d *Dispatcher) ReportDue() <-chan struct{} { return d.reportDue }

// signalIfLongPrompt requests an immediate report if o places a long prompt.
func (d *Dispatcher) signalIfLongPrompt(o *masticschedule.Outcome) {
	if o.Err == nil && o.Decision.Tokens >= immediateReportTokens {
		d.signalReportDue()
	}
}

// signalReportDue requests an immediate report, unless a signal is already pending.
func (d *Dispatcher) signalReportDue() {
	select {
	case d.reportDue <- struct{}{}:
	default:
	}
}

// Placements returns the counters of placements.
func (d *Dispatcher) Placements() *Placements { return d.placements }

// Drops returns the counters of commands dropped because the inbox was full.
func (d *Dispatcher) Drops() *Drops { return d.drops }
