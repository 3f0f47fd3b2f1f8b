// Package masticschedule decides which request runs where and when: it joins queue,
// router, retry budget and quarantine without input or output. Time is an argument.
package masticschedule

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticfair"
	"masticladder/masticprompt"
	"masticladder/masticretry"
	"masticladder/masticroute"
	"masticladder/masticview"
)

const (
	// maxQueued bounds the waiting requests of one host.
	maxQueued = 4096
	// scanLimit bounds the requests that one event may let be weighed.
	scanLimit = 16
	// pollInterval is how often the queue is weighed again while requests wait.
	pollInterval = 20 * time.Millisecond
)

// Ticket numbers a request of one host.
type Ticket uint64

// Outcome is the answer to a submitted request: an assignment or an error.
type Outcome struct {
	Ticket   Ticket
	Decision masticroute.Decision
	Server   masticview.Server
	// Names are the names of the candidates that Decision weighed, in their order.
	Names []string
	// Queued is how long the request waited.
	Queued time.Duration
	// Err is nil for an assignment.
	Err *masticerror.Error
}

// waiting is a request in the queue.
type waiting struct {
	ticket   Ticket
	request  masticcall.Request
	query    masticroute.Query
	queuedAt time.Time
	// unusable reports that no backend server was usable when the request was last weighed.
	unusable bool
}

// running is a request on a backend server.
type running struct {
	work masticroute.Work
}

// Scheduler is the state of one host. It is not safe for concurrent use.
type Scheduler struct {
	view     masticview.View
	router   *masticroute.Router
	queue    *masticfair.Queue[*waiting]
	usage    *masticfair.Usage
	budget   *masticretry.Budget
	running  map[Ticket]*running
	services map[Ticket]serviceWork
	suspects map[masticview.Digest]bool
	outcomes []Outcome
	newest   newest
}

// New returns a Scheduler over router.
func New(router *masticroute.Router) *Scheduler {
	return &Scheduler{
		router:   router,
		queue:    masticfair.New[*waiting](),
		usage:    masticfair.NewUsage(),
		budget:   masticretry.NewBudget(),
		running:  map[Ticket]*running{},
		services: map[Ticket]serviceWork{},
		suspects: map[masticview.Digest]bool{},
		newest:   newest{versions: map[string][]masticroute.NamedVersion{}},
	}
}

// SetView replaces the view; a leaving backend server gets nothing from then on.
func (s *Scheduler) SetView(now time.Time, v masticview.View) {
	s.view = v
	s.newest.take(now, v)
	s.router.SetView(v)
	s.scan(now)
}

// SetSuspects replaces the digests of requests that may end a backend server.
func (s *Scheduler) SetSuspects(digests []masticview.Digest) {
	s.suspects = make(map[masticview.Digest]bool, len(digests))
	for _, d := range digests {
		s.suspects[d] = true
	}
}

// Submit takes a request; its outcome comes from Outcomes, at once or later.
func (s *Scheduler) Submit(now time.Time, t Ticket, r masticcall.Request, p masticprompt.Prompt) {
	if err := s.refuse(now, r); err != nil {
		s.fail(t, err)
		return
	}
	w := &waiting{ticket: t, request: r, queuedAt: now, query: masticroute.Query{
		Model: r.Model, Workspace: r.Workspace, Class: r.Class, Prompt: p,
		PromptTokens: r.PromptTokens, Avoid: r.Avoid, Suspect: s.suspects[r.Digest],
	}}
	if !s.router.Eligible(&w.query) {
		s.fail(t, noServer(r.Model))
		return
	}
	s.newest.ask(now, w)
	d, ok := s.router.Decide(now, &w.query)
	w.unusable = !ok
	if err := s.shed(now, w, &d); err != nil {
		s.fail(t, err)
		return
	}
	tokens := max(p.Tokens(), r.PromptTokens)
	if ok {
		tokens = d.Uncached()
	}
	s.push(w, tokens)
	s.scan(now)
}

func (s *Scheduler) push(w *waiting, tokens int64) {
	r := w.request
	s.queue.Push(masticfair.Item[*waiting]{
		Workspace: r.Workspace, Weight: r.Weight, Deadline: r.FirstTokenBy,
		Tokens: max(1, tokens), HeadStartTokens: head(r.Class), Value: w,
	})
}

// head returns how far a class may go ahead of its workspace's turn, in tokens.
func head(c masticview.Class) int64 {
	switch c {
	case masticview.ClassQuick:
		return masticfair.MaxHeadStartTokens
	case masticview.ClassLong:
		return masticfair.MaxHeadStartTokens / 2
	default:
		return 0
	}
}

// Priority returns the engine's priority of a class; a smaller one is more urgent.
func Priority(c masticview.Class) int {
	switch c {
	case masticview.ClassQuick:
		return 0
	case masticview.ClassLong:
		return 10
	default:
		return 20
	}
}

// Cancel ends a request in any state; one that runs counts as ended by its caller.
func (s *Scheduler) Cancel(now time.Time, t Ticket) {
	if _, ok := s.running[t]; ok {
		s.Done(now, t, masticcall.Result{Failure: string(masticerror.KindCancelled)})
		return
	}
	if _, ok := s.services[t]; ok {
		s.Done(now, t, masticcall.Result{Failure: string(masticerror.KindCancelled)})
		return
	}
	s.queue.RemoveFunc(func(i masticfair.Item[*waiting]) bool { return i.Value.ticket == t })
}

// FirstToken records the first token of a running request.
func (s *Scheduler) FirstToken(now time.Time, t Ticket) {
	r, ok := s.running[t]
	if !ok {
		return
	}
	s.router.FirstToken(now, &r.work)
	s.scan(now)
}

// Done records the end of a running request.
func (s *Scheduler) Done(now time.Time, t Ticket, result masticcall.Result) {
	if w, ok := s.services[t]; ok {
		delete(s.services, t)
		s.router.ServiceDone(now, w.slot, endOf(result))
		return
	}
	r, ok := s.running[t]
	if !ok {
		return
	}
	delete(s.running, t)
	s.router.Done(now, &r.work, endOf(result))
	s.scan(now)
}

func endOf(r masticcall.Result) masticroute.End {
	return masticroute.End{
		Failed:      failsServer(masticerror.Kind(r.Failure)),
		Partial:     r.Failure != "",
		ServerEnded: r.ServerEnded,
		Incarnation: r.ServerIncarnation, CachedTokens: r.CachedTokens, CachedUnknown: r.CachedUnknown,
	}
}

// failsServer reports whether a failure speaks against the backend server.
func failsServer(k masticerror.Kind) bool {
	switch k {
	case masticerror.KindBackendRefused, masticerror.KindBackendFailed, masticerror.KindStreamBroken, masticerror.KindOutcomeUnknown:
		return true
	default:
		return false
	}
}

// Report takes a load report.
func (s *Scheduler) Report(now time.Time, r masticroute.Report) {
	s.router.Report(now, r)
	s.scan(now)
}

// Peer takes another host's report of its work.
func (s *Scheduler) Peer(now time.Time, p masticroute.PeerReport) {
	s.router.Peer(now, p)
	s.scan(now)
}

// Own returns this host's report for the others.
func (s *Scheduler) Own(host string) masticroute.PeerReport { return s.router.Own(host) }

// Events takes cache events of the named backend server's incarnation.
func (s *Scheduler) Events(now time.Time, server, incarnation string, b masticcache.Batch) masticcache.Applied {
	return s.router.Events(now, server, incarnation, b)
}

// Probe takes the result of a probe.
func (s *Scheduler) Probe(now time.Time, server, incarnation string, alive bool) {
	s.router.Probe(now, server, incarnation, alive)
	s.scan(now)
}

// Poll weighs the queue again; it is to be called at the time that Wake gives.
func (s *Scheduler) Poll(now time.Time) { s.scan(now) }

// Wake returns when Poll is next due, and the zero time while nothing waits.
func (s *Scheduler) Wake(now time.Time) time.Time {
	if s.queue.Len() == 0 {
		return time.Time{}
	}
	return now.Add(pollInterval)
}

// Queued returns the number of waiting requests.
func (s *Scheduler) Queued() int { return s.queue.Len() }

// Outcomes returns the outcomes since the last call.
func (s *Scheduler) Outcomes() []Outcome {
	out := s.outcomes
	s.outcomes = nil
	return out
}

func (s *Scheduler) fail(t Ticket, err *masticerror.Error) {
	s.outcomes = append(s.outcomes, Outcome{Ticket: t, Err: err})
}
