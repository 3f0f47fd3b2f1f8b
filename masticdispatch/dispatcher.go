// Package masticdispatch runs the scheduler of one host: one goroutine owns queue,
// router, health and beliefs, and everything reaches it through one bounded channel.
package masticdispatch

import (
	"context"
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

// inboxLength is the number of commands that can wait for the loop. A request that
// finds the inbox full is refused as overloaded; reports and cache events are dropped;
// the end of a request waits for room.
const inboxLength = 1024

// command is something for the loop to do. It returns the scheduler's outcomes to their askers.
type command interface {
	apply(d *Dispatcher, now time.Time)
}

// Dispatcher implements masticcall.Dispatcher.
type Dispatcher struct {
	scheduler *masticschedule.Scheduler
	inbox     chan command
	stop      chan struct{}
	stopped   chan struct{}
	// asking are the askers of requests without an outcome; only the loop uses it.
	asking map[masticschedule.Ticket]chan<- masticschedule.Outcome
	ticket masticschedule.Ticket
	log    *logrus.Entry
	seed   uint64
	router []masticroute.Option
	drops  *Drops
	placed chan struct{}
}

// Option changes how New builds a Dispatcher.
type Option func(*Dispatcher)

// WithLog sets where the decisions are logged.
func WithLog(l *logrus.Entry) Option { return func(d *Dispatcher) { d.log = l } }

// WithSeed sets the seed of the random candidates; hosts should have different ones.
func WithSeed(seed uint64) Option { return func(d *Dispatcher) { d.seed = seed } }

// WithSharedLoad makes the router decide by the work of all hosts, of which Peer tells.
func WithSharedLoad() Option {
	return func(d *Dispatcher) { d.router = append(d.router, masticroute.WithSharedLoad()) }
}

// New returns a Dispatcher that serves once Run is called.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{
		inbox:   make(chan command, inboxLength),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		asking:  map[masticschedule.Ticket]chan<- masticschedule.Outcome{},
		log:     logrus.NewEntry(logrus.StandardLogger()),
		seed:    uint64(time.Now().UnixNano()),
		drops:   newDrops(),
		placed:  make(chan struct{}, 1),
	}
	for _, o := range options {
		o(d)
	}
	d.scheduler = masticschedule.New(masticroute.New(append(d.router, masticroute.WithSeed(d.seed))...))
	return d
}

// Acquire waits in the queue until a backend server is assigned to r. The errors are not run.
func (d *Dispatcher) Acquire(ctx context.Context, r masticcall.Request) (masticcall.Assignment, error) {
	prompt := masticprompt.Cut(r.Levels)
	r.Levels = nil
	answer := make(chan masticschedule.Outcome, 1)
	o, err := d.ask(ctx, &submit{request: r, prompt: prompt, answer: answer}, answer)
	if err != nil {
		d.logRefusal(r, err)
		return nil, err
	}
	if o.Err != nil {
		d.logRefusal(r, o.Err)
		return nil, o.Err
	}
	d.logDecision(r, &o)
	return d.assignment(o, r.Workspace, r.Class), nil
}

// AcquireService assigns a backend server of a plain service. The errors are not run.
func (d *Dispatcher) AcquireService(ctx context.Context, service masticview.Service, avoid []string) (masticcall.Assignment, error) {
	answer := make(chan masticschedule.Outcome, 1)
	o, err := d.ask(ctx, &submitService{service: service, avoid: avoid, answer: answer}, answer)
	if err != nil {
		return nil, err
	}
	d.logService(service, &o)
	if o.Err != nil {
		return nil, o.Err
	}
	return d.assignment(o, "", ""), nil
}

// ask sends c to the loop and waits for its outcome. When ctx ends first, c is withdrawn.
func (d *Dispatcher) ask(ctx context.Context, c command, answer <-chan masticschedule.Outcome) (masticschedule.Outcome, error) {
	select {
	case d.inbox <- c:
	case <-d.stopped:
		return masticschedule.Outcome{}, errStopped()
	default:
		return masticschedule.Outcome{}, masticerror.New(masticerror.KindOverloaded, "the dispatcher's inbox is full")
	}
	select {
	case o := <-answer:
		return o, nil
	case <-d.stopped:
		return masticschedule.Outcome{}, errStopped()
	case <-ctx.Done():
		d.must(&withdraw{answer: answer, command: c})
		return masticschedule.Outcome{}, ended(ctx)
	}
}

func errStopped() error {
	return masticerror.New(masticerror.KindDraining, "the dispatcher has stopped")
}

func ended(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return masticerror.New(masticerror.KindDeadline, "deadline passed in the queue")
	}
	return masticerror.New(masticerror.KindCancelled, "the caller went away while queued")
}

// must sends a command that may not be lost.
func (d *Dispatcher) must(c command) {
	select {
	case d.inbox <- c:
	case <-d.stopped:
	}
}

// offer sends a command that may be dropped when the inbox is full.
func (d *Dispatcher) offer(kind DropKind, c command) {
	select {
	case d.inbox <- c:
	case <-d.stopped:
	default:
		d.drops.add(kind)
	}
}

// SetView replaces the view; backend servers that leave get nothing from then on.
func (d *Dispatcher) SetView(v masticview.View) { d.must(&setView{v}) }

// SetSuspects replaces the digests of requests that may end a backend server.
func (d *Dispatcher) SetSuspects(digests []masticview.Digest) { d.must(&setSuspects{digests}) }

// Report takes a load report.
func (d *Dispatcher) Report(r masticroute.Report) { d.offer(DropReport, &report{r}) }

// Events takes cache events of the named backend server's incarnation.
func (d *Dispatcher) Events(server, incarnation string, b masticcache.Batch) {
	d.offer(DropEvents, &events{server, incarnation, b})
}

// Probe takes the result of a probe.
func (d *Dispatcher) Probe(server, incarnation string, alive bool) {
	d.must(&probe{server, incarnation, alive})
}

// Peer takes another host's report of its work.
func (d *Dispatcher) Peer(p masticroute.PeerReport) { d.offer(DropReport, &peer{p}) }

// Own returns this host's report for the others, or false once the dispatcher has stopped.
func (d *Dispatcher) Own(host string) (masticroute.PeerReport, bool) {
	c := &own{host: host, answer: make(chan masticroute.PeerReport, 1)}
	d.must(c)
	select {
	case p := <-c.answer:
		return p, true
	case <-d.stopped:
		return masticroute.PeerReport{}, false
	}
}

// tellTokens is the length of a prompt from which other hosts are told of its placing at once:
// it occupies an engine for some 100 ms, and its shared parts need not be read elsewhere.
const tellTokens = 4096

// Placed signals that other hosts should be told at once: a long prompt was placed, or a
// backend server was found ended.
func (d *Dispatcher) Placed() <-chan struct{} { return d.placed }

// tell signals o where others should know.
func (d *Dispatcher) tell(o *masticschedule.Outcome) {
	if o.Err == nil && o.Decision.Tokens >= tellTokens {
		d.signal()
	}
}

// signal makes other hosts be told at once, unless a signal waits already.
func (d *Dispatcher) signal() {
	select {
	case d.placed <- struct{}{}:
	default:
	}
}

// Drops returns the counters of what was dropped since the inbox was full.
func (d *Dispatcher) Drops() *Drops { return d.drops }
