// Package masticagent is a host's client of the control group: it keeps the host's copy of the
// view and its lease, and sends reservations, records and releases of orders, quota requests,
// usage, suspects and operators' changes to the leader. An order is a call that runs at most once.
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
	"masticladder/masticsuspect"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// Agent is one host's client of the control group. It implements masticcall.Views.
type Agent struct {
	host                  string
	incarnation           string
	peers                 []string
	wire                  *masticwire.Wire
	onView                func(masticview.View)
	onSuspects            func([]masticview.Digest)
	evidence              func() []*masticproto.RolloutEvidence
	log                   logrus.FieldLogger
	renewInterval         time.Duration
	renewTimeout          time.Duration
	reportInterval        time.Duration
	attemptTimeout        time.Duration
	publishAttemptTimeout time.Duration
	retryDelay            time.Duration
	flushTimeout          time.Duration
	reserveTimeout        time.Duration
	orderRetention        time.Duration
	quarantinePeriod      time.Duration
	quarantineAfter       int
	// lazyAcknowledgement defers the acknowledgement of a view to the next regular renewal.
	lazyAcknowledgement bool

	leader *leaderClient
	// members is for renewals on large sites.
	members *leaderClient
	views   *views
	renewer *renewer
	watcher *watcher
	limiter *limiter
	// outageShares admit requests while the quota owner is unreachable, standingShares in addition
	// to its grants; nil for none.
	outageShares, standingShares *shares
	// keepers admit requests instead of the owner while quotas are divided among keepers; may be nil.
	keepers        masticcall.DividedLimiter
	admissions     Admissions
	reporter       *reporter
	suspects       *suspects
	ledger         *ledger
	commandRetrier *commandRetrier
	origins        *origins
	running        sync.WaitGroup
	context        context.Context
	cancel         context.CancelFunc
}

// New returns an Agent. Run starts it.
func New(options ...Option) (*Agent, error) {
	a := &Agent{
		incarnation:           uuid.NewString(),
		log:                   logrus.StandardLogger(),
		renewInterval:         DefaultRenewInterval,
		renewTimeout:          DefaultRenewTimeout,
		reportInterval:        DefaultReportInterval,
		attemptTimeout:        DefaultAttemptTimeout,
		publishAttemptTimeout: DefaultPublishAttemptTimeout,
		retryDelay:            DefaultRetryDelay,
		flushTimeout:          DefaultFlushTimeout,
		reserveTimeout:        DefaultReserveTimeout,
		orderRetention:        DefaultOrderRetention,
		quarantinePeriod:      DefaultQuarantinePeriod,
		quarantineAfter:       masticsuspect.DefaultQuarantineAfter,
	}
	for _, o := range options {
		o(a)
	}
	if a.host == "" || len(a.peers) == 0 {
		return nil, masticerror.New(masticerror.KindBadRequest, "create agent: the host name and the control peers are required")
	}
	if a.wire == nil {
		a.wire = masticwire.New()
	}
	a.log = a.log.WithField("host", a.host)
	return a, a.build()
}

func (a *Agent) build() error {
	leader, err := newLeaderClient(a.wire, a.peers, a.retryDelay)
	if err != nil {
		return err
	}
	a.leader = leader
	a.members = newMemberClient(leader, a.host)
	a.views = newViews(a)
	a.renewer = newRenewer(a)
	a.watcher = newWatcher(a)
	a.limiter = newLimiter(a)
	a.reporter = newReporter(a)
	a.suspects = newSuspects(a)
	a.ledger = newLedger(a)
	a.commandRetrier = newCommandRetrier(a)
	a.origins = newOrigins(a)
	a.context, a.cancel = context.WithCancel(context.Background())
	return nil
}

// View returns the newest view that this host holds.
func (a *Agent) View() masticview.View { return a.views.view() }

// Outdated reports whether this host knows that its view is older than the newest one.
func (a *Agent) Outdated() bool { return a.views.outdated() }

// Leased reports whether the host holds a view lease at now.
func (a *Agent) Leased(now time.Time) bool { return a.views.leased(now) }

// LeaseExpiresAt returns when the host's view lease expires, on the monotonic clock.
func (a *Agent) LeaseExpiresAt() time.Time { return a.views.leaseExpiry() }

// Ledger returns the ledger of calls that must not be repeated.
func (a *Agent) Ledger() masticcall.Ledger { return a.ledger }

// Limiter returns the rate limiter of workspaces.
func (a *Agent) Limiter() masticcall.Limiter { return a.limiter }

// Admissions returns the counts of admitted requests, by source, and of refused requests.
func (a *Agent) Admissions() *Admissions { return &a.admissions }

// Usage returns the usage counter.
func (a *Agent) Usage() masticcall.Usage { return a.reporter }

// Suspects returns the set of suspects that is shared with all hosts.
func (a *Agent) Suspects() masticcall.SuspectReporter { return a.suspects }

// Holds returns the holds, which keep suspects from running on one backend server at once.
func (a *Agent) Holds() masticcall.Holds { return a.suspects }

// Operator returns the operations for operators.
func (a *Agent) Operator() masticcall.Operator { return &operator{agent: a} }

// Run runs the agent until Stop. It then returns unspent quota and reports the last usage.
func (a *Agent) Run() error {
	a.running.Add(7 + originSenders)
	go a.views.loop()
	go a.limiter.loop()
	go a.limiter.run(a.context)
	go a.renewer.run(a.context)
	go a.watcher.run(a.context)
	go a.reporter.run(a.context)
	flushing, stopFlushing := context.WithCancel(context.Background())
	defer stopFlushing()
	go a.commandRetrier.run(flushing)
	for range originSenders {
		go a.origins.run(a.context)
	}
	<-a.context.Done()
	a.commandRetrier.queue.Close()
	a.finish()
	stopFlushing()
	a.views.updates.Close()
	a.limiter.events.Close()
	a.members.close()
	a.leader.close()
	a.running.Wait()
	return nil
}

// finish returns unspent quota, flushes usage, and ends reservations and holds within the flush timeout.
func (a *Agent) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), a.flushTimeout)
	defer cancel()
	if returns := a.limiter.drain(); len(returns) > 0 {
		q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Quota{Quota: quotaReturns(returns)}}
		if _, err := a.leader.call(ctx, q, a.attemptTimeout); err != nil {
			a.log.WithError(err).Warn("unspent quota was not returned; its grants expire")
		}
	}
	a.reporter.send(ctx)
	a.commandRetrier.wait(ctx)
}

// Stop ends Run.
func (a *Agent) Stop(error) { a.cancel() }

// commit sends a command to the leader, which commits it.
func (a *Agent) commit(ctx context.Context, c *masticproto.Command, attemptTimeout time.Duration) (*masticproto.CommandAnswer, error) {
	q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: c}}
	answer, err := a.leader.call(ctx, q, attemptTimeout)
	if err != nil {
		return nil, err
	}
	return answer.answer.GetCommand(), nil
}
