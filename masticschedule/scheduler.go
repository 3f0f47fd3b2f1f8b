// Package masticschedule decides which request runs where and when. It combines queue, router,
// retry budget and quarantine, performs no I/O, and takes the current time as an argument.
package masticschedule

import (
	"cmp"
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticfair"
	"masticladder/masticlimit"
	"masticladder/masticprompt"
	"masticladder/masticretry"
	"masticladder/masticroute"
	"masticladder/masticshard"
	"masticladder/masticview"
)

const (
	// maxQueued bounds the number of queued requests of one host.
	maxQueued = 4096
	// scanLimit bounds the number of queued requests evaluated per event.
	scanLimit = 16
	// pollInterval is how often the queue is evaluated again while requests wait.
	pollInterval = 20 * time.Millisecond
)

// Ticket identifies a request within one host.
type Ticket uint64

// Outcome is the result of a submitted request: an assignment or an error.
type Outcome struct {
	Ticket   Ticket
	Decision masticroute.Decision
	Server   masticview.Server
	// Names are the names of the candidates that Decision evaluated, in the same order.
	Names []string
	// Queued is how long the request was queued.
	Queued time.Duration
	// Held is the part of Queued in which the request waited for an engine that read its prefix.
	Held time.Duration
	// Err is nil for an assignment.
	Err *masticerror.Error
	// At is when the outcome was decided. The dispatcher sets it.
	At time.Time
}

// waiting is a request in the queue.
type waiting struct {
	ticket   Ticket
	request  masticcall.Request
	query    masticroute.Query
	queuedAt time.Time
	// noUsableServer reports whether no backend server was usable when the request was last
	// evaluated.
	noUsableServer bool
	hold           holdState
	// serveBy is the latest time at which the request can be sent to end its prefill by its deadline, as last evaluated; zero if it
	// has no deadline.
	serveBy time.Time
}

// evaluated records the evaluation d of w; ok reports whether a backend server was usable.
func (w *waiting) evaluated(d *masticroute.Decision, ok bool) {
	w.noUsableServer = !ok
	w.serveBy = w.request.Deadline
	if ok && !w.serveBy.IsZero() {
		w.serveBy = w.serveBy.Add(-d.Prefill)
	}
}

// running is a request on a backend server.
type running struct {
	work masticroute.Work
}

// Scheduler is the scheduling state of one host. It is not safe for concurrent use.
type Scheduler struct {
	view         masticview.View
	router       *masticroute.Router
	queue        *masticfair.Queue[*waiting]
	usage        *masticfair.Usage
	budget       *masticretry.Budget
	running      map[Ticket]*running
	serviceCalls map[Ticket]serviceCall
	suspects     map[masticview.Digest]bool
	outcomes     []Outcome
	announced    announcedVersions
}

// Option sets one property of a Scheduler.
type Option func(*Scheduler)

// WithOldWeightsTimeout replaces DefaultOldWeightsTimeout.
func WithOldWeightsTimeout(d time.Duration) Option {
	return func(s *Scheduler) { s.announced = newAnnouncedVersions(d) }
}

// New returns a Scheduler that uses router.
func New(router *masticroute.Router, options ...Option) *Scheduler {
	s := &Scheduler{
		router:       router,
		queue:        masticfair.New[*waiting](),
		usage:        masticfair.NewUsage(),
		budget:       masticretry.NewBudget(),
		running:      map[Ticket]*running{},
		serviceCalls: map[Ticket]serviceCall{},
		suspects:     map[masticview.Digest]bool{},
		announced:    newAnnouncedVersions(DefaultOldWeightsTimeout),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetView replaces the view. From then on, a leaving backend server gets no new requests.
func (s *Scheduler) SetView(now time.Time, v masticview.View) {
	s.view = v
	s.announced.update(now, v)
	s.router.SetView(v)
	s.scan(now)
}

// SetSuspects replaces the digests of requests suspected of crashing backend servers.
func (s *Scheduler) SetSuspects(digests []masticview.Digest) {
	s.suspects = make(map[masticview.Digest]bool, len(digests))
	for _, d := range digests {
		s.suspects[d] = true
	}
}

// Submit refuses, starts or queues a request. Its outcome is available from Outcomes,
// immediately or later.
func (s *Scheduler) Submit(now time.Time, t Ticket, r masticcall.Request, p masticprompt.Prompt) {
	if err := s.admissionError(now, r); err != nil {
		s.fail(t, err)
		return
	}
	w := &waiting{ticket: t, request: r, queuedAt: now, query: masticroute.Query{
		Model: r.Model, Workspace: r.Workspace, Class: r.Class, Prompt: p,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Avoid: r.Avoid, Software: r.Software, Suspect: s.suspects[r.Digest], Shard: r.Shard, OtherHost: r.OtherHost,
		Due: r.FirstTokenDeadline,
	}}
	if !s.router.Eligible(&w.query) {
		s.fail(t, noServerError(r.Model))
		return
	}
	s.announced.setQueryVersions(now, w)
	d, ok := s.router.Decide(now, &w.query)
	w.evaluated(&d, ok)
	if err := s.withheldError(now, w); err != nil {
		s.fail(t, err)
		return
	}
	if err := s.overloadError(now, w, &d); err != nil {
		s.fail(t, err)
		return
	}
	tokens, startBy := max(p.Tokens(), r.PromptTokens), r.FirstTokenDeadline
	if ok {
		tokens, startBy = d.Uncached(), startBy.Add(-d.Prefill)
	}
	s.push(w, tokens, startBy)
	s.scan(now)
}

// Adopt starts a request on the engine that the coordinator of its shard assigned, unless this host may not
// use it.
func (s *Scheduler) Adopt(now time.Time, t Ticket, r masticcall.Request, p masticprompt.Prompt, a masticcall.ShardAssignment) {
	w := &waiting{ticket: t, request: r, queuedAt: now, query: masticroute.Query{
		Model: r.Model, Workspace: r.Workspace, Class: r.Class, Prompt: p,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Avoid: r.Avoid, Software: r.Software, Suspect: s.suspects[r.Digest],
	}}
	d, ok := s.router.Adopt(now, &w.query, a)
	if !ok {
		s.fail(t, noServerError(r.Model))
		return
	}
	s.start(now, w, &d)
	o := &s.outcomes[len(s.outcomes)-1]
	o.Server = o.Server.WithVersionOf(r.ModelName(), a.WeightsVersion)
}

// Shards returns the division of the engines, nil if they are not divided.
func (s *Scheduler) Shards() *masticshard.Map { return s.router.Shards() }

func (s *Scheduler) push(w *waiting, tokens int64, startBy time.Time) {
	r := w.request
	s.queue.Push(masticfair.Item[*waiting]{
		Workspace: queueOwner(&r), Weight: r.Weight, Deadline: r.FirstTokenDeadline, StartBy: startBy, Rank: r.Priority,
		Tokens: max(1, tokens), HeadStartTokens: headStartTokens(r.Class), Value: w,
	})
}

// queueOwner returns the workspace whose share of the queue r takes.
func queueOwner(r *masticcall.Request) string { return cmp.Or(r.Owner, r.Workspace) }

// headStartTokens returns how far ahead of its workspace's turn a class may be served, in tokens.
func headStartTokens(c masticview.Class) int64 {
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

// Cancel ends a request in any state. A running request counts as cancelled by its caller.
func (s *Scheduler) Cancel(now time.Time, t Ticket) {
	if _, ok := s.running[t]; ok {
		s.Done(now, t, masticcall.Result{Failure: string(masticerror.KindCancelled)})
		return
	}
	if _, ok := s.serviceCalls[t]; ok {
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
	if w, ok := s.serviceCalls[t]; ok {
		delete(s.serviceCalls, t)
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
		Failed:      isServerFailure(masticerror.Kind(r.Failure)),
		Partial:     r.Failure != "",
		Rejected:    masticerror.Kind(r.Failure) == masticerror.KindBackendBusy && !r.Paused,
		Paused:      r.Paused,
		ServerEnded: r.ServerEnded,
		Incarnation: r.ServerIncarnation, CachedTokens: r.CachedTokens, CachedUnknown: r.CachedUnknown,
	}
}

// isServerFailure reports whether a failure counts against the backend server.
func isServerFailure(k masticerror.Kind) bool {
	switch k {
	case masticerror.KindBackendRefused, masticerror.KindBackendFailed, masticerror.KindStreamBroken, masticerror.KindOutcomeUnknown:
		return true
	default:
		return false
	}
}

// Report applies a load report of a backend server.
func (s *Scheduler) Report(now time.Time, r masticroute.LoadReport) {
	s.router.ApplyLoadReport(now, r)
	s.scan(now)
}

// ApplyPeerReport applies another host's report of its running work.
func (s *Scheduler) ApplyPeerReport(now time.Time, p masticroute.PeerReport) {
	s.router.ApplyPeerReport(now, p)
	s.scan(now)
}

// TakeOwnReport returns this host's report for its peers.
func (s *Scheduler) TakeOwnReport(host string) masticroute.PeerReport {
	return s.router.TakeOwnReport(host)
}

// TakeFinishedUnsent reports, once for each report, whether the next one says that an engine has read a
// prompt for which requests on other hosts may wait.
func (s *Scheduler) TakeFinishedUnsent() bool { return s.router.TakeFinishedUnsent() }

// ObserveRate applies what an answer of a backend server stated of its request rate. It returns the
// statement if that changed it.
func (s *Scheduler) ObserveRate(now time.Time, server, incarnation string, o masticlimit.Observation) (masticlimit.Statement, bool) {
	changed := s.router.Limits().Observe(now, server, incarnation, o)
	return s.router.Limits().Statement(server), changed
}

// ObserveNotice applies what an answer of an incarnation of a backend server stated of the requests that
// it takes from this host. It reports whether that changed what is known of it.
func (s *Scheduler) ObserveNotice(now time.Time, server, incarnation string, leaving bool, pausedUntil time.Time) (masticroute.Notice, bool) {
	n, changed := s.router.ObserveNotice(now, server, incarnation, leaving, pausedUntil)
	if changed {
		s.scan(now)
	}
	return n, changed
}

// ObserveCheck applies that an incarnation of a backend server has answered a check that was sent at the given time. It
// reports whether the server takes requests again.
func (s *Scheduler) ObserveCheck(now time.Time, server, incarnation string, sentAt time.Time) bool {
	again := s.router.ObserveCheck(server, incarnation, sentAt)
	if again {
		s.scan(now)
	}
	return again
}

// Unverified returns the listed backend servers of which a check is to tell whether their incarnation is leaving.
func (s *Scheduler) Unverified(now time.Time) []masticview.Server { return s.router.Unverified(now) }

// ApplyLimitReport applies another host's report on request rates, and returns the statements that
// changed.
func (s *Scheduler) ApplyLimitReport(now time.Time, r masticlimit.Report) []masticlimit.Statement {
	return s.router.Limits().Receive(now, r)
}

// TakeLimitReports returns this host's reports on request rates, by the host that each is for.
func (s *Scheduler) TakeLimitReports(now time.Time) map[string]masticlimit.Report {
	return s.router.Limits().Reports(now)
}

// LimitedServers returns the names of the backend servers that state a request rate.
func (s *Scheduler) LimitedServers() []string { return s.router.Limits().Limited() }

// Events applies cache events from an incarnation of the named backend server.
func (s *Scheduler) Events(now time.Time, server, incarnation string, b masticcache.Batch) masticcache.Applied {
	return s.router.ApplyCacheEvents(now, server, incarnation, b)
}

// PartEvents applies what a backend server or store reports of the parts in its cache.
func (s *Scheduler) PartEvents(now time.Time, server string, reset bool, events []masticcache.PartEvent) {
	s.router.ApplyPartEvents(now, server, reset, events)
	s.scan(now)
}

// Probe applies the result of a health probe.
func (s *Scheduler) Probe(now time.Time, server, incarnation string, alive bool) {
	s.router.RecordProbe(now, server, incarnation, alive)
	s.scan(now)
}

// Poll evaluates the queue again. It must be called at the time that NextPoll returns.
func (s *Scheduler) Poll(now time.Time) { s.scan(now) }

// NextPoll returns when Poll is next due, or the zero time while nothing is queued.
func (s *Scheduler) NextPoll(now time.Time) time.Time {
	if s.queue.Len() == 0 {
		return time.Time{}
	}
	return now.Add(pollInterval)
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return s.queue.Len() }

// Outcomes returns and clears the outcomes since the last call.
func (s *Scheduler) Outcomes() []Outcome {
	out := s.outcomes
	s.outcomes = nil
	return out
}

func (s *Scheduler) fail(t Ticket, err *masticerror.Error) {
	s.outcomes = append(s.outcomes, Outcome{Ticket: t, Err: err})
}
