package masticgate

import (
	"context"
	"slices"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// fakeViews holds a view and a lease that a test can change.
type fakeViews struct {
	mu         sync.Mutex
	view       masticview.View
	leaseEnded bool
}

func (f *fakeViews) View() masticview.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeViews) Leased(time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leaseEnded
}

func (f *fakeViews) endLease() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaseEnded = true
}

func (f *fakeViews) change(apply func(masticview.View) masticview.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = apply(f.view).WithRevision(f.view.Revision() + 1)
}

// fakeLimiter admits every request unless refuse is set, and records what was settled.
type fakeLimiter struct {
	mu     sync.Mutex
	refuse *masticerror.Error
	// slow makes Admit wait until its context ends.
	slow     bool
	admitted int64
	settled  []int64
}

func (f *fakeLimiter) Admit(ctx context.Context, _ string, tokens int64, _ time.Time) (masticcall.Admission, error) {
	if f.slow {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != nil {
		return nil, f.refuse
	}
	f.admitted += tokens
	return f, nil
}

func (f *fakeLimiter) Settle(used int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, used)
}

// fakeOrder is one order of a fakeLedger.
type fakeOrder struct {
	digest masticview.Digest
	state  masticcall.OrderState
	answer masticcall.StoredAnswer
}

// fakeLedger keeps orders in memory.
type fakeLedger struct {
	mu     sync.Mutex
	orders map[masticcall.OrderKey]*fakeOrder
	fail   error
	// recordFail is the error of Record.
	recordFail error
	released   int
}

func (f *fakeLedger) Reserve(_ context.Context, k masticcall.OrderKey, d masticview.Digest, _ time.Time) (masticcall.Reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return masticcall.Reservation{}, f.fail
	}
	o, ok := f.orders[k]
	if !ok {
		f.orders[k] = &fakeOrder{digest: d, state: masticcall.OrderInFlight}
		return masticcall.Reservation{State: masticcall.OrderReserved}, nil
	}
	if o.digest != d {
		return masticcall.Reservation{}, masticerror.New(masticerror.KindKeyReused, "another request")
	}
	return masticcall.Reservation{State: o.state, Answer: o.answer}, nil
}

func (f *fakeLedger) Record(ctx context.Context, k masticcall.OrderKey, a *masticcall.StoredAnswer) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recordFail != nil {
		return f.recordFail
	}
	o := f.orders[k]
	o.state = masticcall.OrderUnknown
	if a != nil {
		o.state, o.answer = masticcall.OrderDone, *a
	}
	return nil
}

func (f *fakeLedger) Release(_ context.Context, k masticcall.OrderKey) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released++
	delete(f.orders, k)
	return nil
}

// fakeUsage keeps the usage records.
type fakeUsage struct {
	mu      sync.Mutex
	records []masticcall.UsageRecord
}

func (f *fakeUsage) Add(u masticcall.UsageRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, u)
}

func (f *fakeUsage) last() masticcall.UsageRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records[len(f.records)-1]
}

// endReport is one report of a backend server that ended.
type endReport struct {
	Server, Incarnation string
	Verdict             masticcall.Verdict
	Digests             []masticview.Digest
}

// fakeSuspects keeps the reports.
type fakeSuspects struct {
	mu      sync.Mutex
	reports []endReport
	// onReport, if not nil, is called with each report.
	onReport func(endReport)
}

func (f *fakeSuspects) Report(r masticcall.ServerReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := endReport{Server: r.Server, Incarnation: r.Incarnation, Verdict: r.Verdict}
	for _, q := range r.Requests {
		report.Digests = append(report.Digests, q.Content.Digest)
	}
	f.reports = append(f.reports, report)
	if f.onReport != nil {
		f.onReport(report)
	}
}

func (f *fakeSuspects) all() []endReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.reports)
}

// fakeDispatcher assigns the first server that is not to be avoided.
type fakeDispatcher struct {
	mu       sync.Mutex
	views    *fakeViews
	results  []masticcall.Result
	acquired []masticcall.Request
	// beforeAcquire, if not nil, is called at the start of each Acquire and AcquireService.
	beforeAcquire func()
	// full makes requests wait until their context ends.
	full bool
}

func (f *fakeDispatcher) Acquire(ctx context.Context, r masticcall.Request) (masticcall.Assignment, error) {
	if f.beforeAcquire != nil {
		f.beforeAcquire()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquired = append(f.acquired, r)
	if f.full {
		return nil, f.wait(ctx)
	}
	for _, s := range f.views.View().Servers() {
		if s.Serves(r.Model) && !slices.Contains(r.Avoid, s.Name) && r.Software.Allows(s.Software) {
			return &fakeAssignment{dispatcher: f, server: s}, nil
		}
	}
	return nil, masticerror.New(masticerror.KindNoServer, "none left")
}

// wait is called with the mutex locked, which it unlocks meanwhile.
func (f *fakeDispatcher) wait(ctx context.Context) error {
	f.mu.Unlock()
	defer f.mu.Lock()
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeDispatcher) AcquireService(ctx context.Context, service masticview.Service, avoid []string) (masticcall.Assignment, error) {
	if f.beforeAcquire != nil {
		f.beforeAcquire()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return nil, f.wait(ctx)
	}
	for _, name := range service.Servers {
		if s, ok := f.views.View().Server(name); ok && !slices.Contains(avoid, name) {
			return &fakeAssignment{dispatcher: f, server: s}, nil
		}
	}
	return nil, masticerror.New(masticerror.KindNoServer, "none left")
}

func (f *fakeDispatcher) done() []masticcall.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.results)
}

// fakeAssignment is an assignment to a server.
type fakeAssignment struct {
	dispatcher *fakeDispatcher
	server     masticview.Server
}

func (f *fakeAssignment) Server() masticview.Server { return f.server }
func (f *fakeAssignment) Priority() int             { return 3 }
func (f *fakeAssignment) CachedTokens() int64       { return 0 }
func (f *fakeAssignment) CacheSalt() string         { return "salt" }
func (f *fakeAssignment) FetchAddress() string      { return "" }
func (f *fakeAssignment) SaveAddress() string       { return "" }
func (f *fakeAssignment) FirstToken(time.Time)      {}

func (f *fakeAssignment) Done(_ time.Time, r masticcall.Result) {
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	f.dispatcher.results = append(f.dispatcher.results, r)
}

// fakeAddresses returns one address.
type fakeAddresses struct{}

func (fakeAddresses) For(workspace string, now time.Time) ([]masticcall.Address, time.Time) {
	return []masticcall.Address{{Address: "127.0.0.9:80", Zone: "zone-" + workspace, Weight: 1}}, now.Add(time.Minute)
}
