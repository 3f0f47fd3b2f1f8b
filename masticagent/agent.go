// Package masticagent is a host's side of control: it keeps the host's copy of the
// view and its lease, and carries orders, quota, usage, suspects and operators'
// changes to the leader.
package masticagent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// Agent is one host's side of control. It implements masticcall.Views.
type Agent struct {
	host            string
	incarnation     string
	peers           []string
	wire            *masticwire.Wire
	onView          func(masticview.View)
	onSuspects      func([]masticview.Digest)
	log             logrus.FieldLogger
	renewInterval   time.Duration
	renewTimeout    time.Duration
	reportInterval  time.Duration
	attempt         time.Duration
	publishAttempt  time.Duration
	retryPause      time.Duration
	flush           time.Duration
	reservePatience time.Duration
	orderRetention  time.Duration
	quarantine      time.Duration
	// lazy leaves the acknowledgement of a view to the next renewal.
	lazy bool

	leader  *leaderClient
	views   *views
	renewer *renewer
	watcher *watcher
	limiter *limiter
	// shares stand in for an owner out of reach, standing beside its grants; nil for none.
	shares, standing *shares
	admissions       Admissions
	reporter         *reporter
	suspects         *suspects
	ledger           *ledger
	finisher         *finisher
	running          sync.WaitGroup
	context          context.Context
	cancel           context.CancelFunc
}

// New returns an Agent. Run begins to serve.
func New(options ...Option) (*Agent, error) {
	a := &Agent{
		incarnation:     uuid.NewString(),
		log:             logrus.StandardLogger(),
		renewInterval:   DefaultRenewInterval,
		renewTimeout:    DefaultRenewTimeout,
		reportInterval:  DefaultReportInterval,
		attempt:         DefaultAttemptTimeout,
		publishAttempt:  DefaultPublishAttempt,
		retryPause:      DefaultRetryPause,
		flush:           DefaultFlushTimeout,
		reservePatience: DefaultReservePatience,
		orderRetention:  DefaultOrderRetention,
		quarantine:      DefaultQuarantine,
	}
	for _, o := range options {
		o(a)
	}
	if a.host == "" || len(a.peers) == 0 {
		return nil, masticerror.New(masticerror.KindBadRequest, "an agent needs its host's name and the control hosts")
	}
	if a.wire == nil {
		a.wire = masticwire.New()
	}
	a.log = a.log.WithField("host", a.host)
	return a, a.build()
}

func (a *Agent) build() error {
	leader, err := newLeaderClient(a.wire, a.peers, a.retryPause)
	if err != nil {
		return err
	}
	a.leader = leader
	a.views = newViews(a)
	a.renewer = newRenewer(a)
	a.watcher = newWatcher(a)
	a.limiter = newLimiter(a)
	a.reporter = newReporter(a)
	a.suspects = newSuspects(a)
	a.ledger = newLedger(a)
	a.finisher = newFinisher(a)
	a.context, a.cancel = context.WithCancel(context.Background())
	return nil
}

// View returns the newest view that this host holds.
func (a *Agent) View() masticview.View { return a.views.view() }

// Leased reports whether the host's view lease holds at now.
func (a *Agent) Leased(now time.Time) bool { return a.views.leased(now) }

// LeaseUntil returns the end of the host's view lease, on the monotonic clock.
func (a *Agent) LeaseUntil() time.Time { return a.views.leaseUntil() }

// Ledger returns the ledger of calls that may not be repeated.
func (a *Agent) Ledger() masticcall.Ledger { return a.ledger }

// Limiter returns the limiter of workspaces.
func (a *Agent) Limiter() masticcall.Limiter { return a.limiter }

// Admissions returns how many requests were admitted, by what, and refused.
func (a *Agent) Admissions() *Admissions { return &a.admissions }

// Usage returns what counts usage.
func (a *Agent) Usage() masticcall.Usage { return a.reporter }

// Suspects returns what shares suspects.
func (a *Agent) Suspects() masticcall.Suspects { return a.suspects }

// Holds returns what keeps suspects apart.
func (a *Agent) Holds() masticcall.Holds { return a.suspects }

// Operator returns the operators' side.
func (a *Agent) Operator() masticcall.Operator { return &operator{agent: a} }

// Run serves until Stop. It then hands back quota and reports the last usage.
func (a *Agent) Run() error {
	a.running.Add(7)
	go a.views.loop()
	go a.limiter.loop()
	go a.limiter.run(a.context)
	go a.renewer.run(a.context)
	go a.watcher.run(a.context)
	go a.reporter.run(a.context)
	go a.finisher.run(a.context)
	<-a.context.Done()
	a.finish()
	a.views.updates.Close()
	a.limiter.events.Close()
	a.finisher.work.Close()
	a.leader.close()
	a.running.Wait()
	return nil
}

// finish hands back quota and flushes usage within the flush timeout.
func (a *Agent) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), a.flush)
	defer cancel()
	if returns := a.limiter.drain(); len(returns) > 0 {
		q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Quota{Quota: quotaReturns(returns)}}
		if _, err := a.leader.ask(ctx, q, a.attempt); err != nil {
			a.log.WithError(err).Warn("quota was not handed back; it runs out by itself")
		}
	}
	a.reporter.send(ctx)
}

// Stop ends Run.
func (a *Agent) Stop(error) { a.cancel() }

// command has the leader commit a command.
func (a *Agent) command(ctx context.Context, c *masticproto.Command, attempt time.Duration) (*masticproto.CommandAnswer, error) {
	q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: c}}
	answer, err := a.leader.ask(ctx, q, attempt)
	if err != nil {
		return nil, err
	}
	return answer.answer.GetCommand(), nil
}
