package masticagent

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// Defaults of the options.
const (
	DefaultRenewInterval         = 600 * time.Millisecond
	DefaultRenewTimeout          = 400 * time.Millisecond
	DefaultAttemptTimeout        = time.Second
	DefaultPublishAttemptTimeout = 5 * time.Second
	DefaultRetryDelay            = 50 * time.Millisecond
	DefaultReportInterval        = 5 * time.Second
	DefaultFlushTimeout          = 2 * time.Second
	DefaultReserveTimeout        = 3 * time.Second
	MaxPendingSuspectReports     = 1024
	DefaultOrderRetention        = 24 * time.Hour
	DefaultQuarantinePeriod      = 10 * time.Minute
	// UnnamedQuarantineAfter is the least number of ends at which a request is quarantined if the
	// servers state no incarnation, so that an end is known by its signs only.
	UnnamedQuarantineAfter = 3
)

// Option sets one property of an Agent.
type Option func(*Agent)

// WithHost names this host.
func WithHost(name string) Option { return func(a *Agent) { a.host = name } }

// WithIncarnation sets the ID of this run of the process; the default is random.
func WithIncarnation(name string) Option { return func(a *Agent) { a.incarnation = name } }

// WithControlPeers sets the IP:port of every control host, the nearest first.
func WithControlPeers(addresses ...string) Option {
	return func(a *Agent) { a.peers = addresses }
}

// WithWire sets the transport to other hosts.
func WithWire(w *masticwire.Wire) Option { return func(a *Agent) { a.wire = w } }

// WithOnView calls f, from one goroutine, with each view that this host starts to serve.
func WithOnView(f func(masticview.View)) Option { return func(a *Agent) { a.onView = f } }

// WithOnSuspects calls f with the digests of all requests that may crash a backend server
// whenever the set has changed.
func WithOnSuspects(f func([]masticview.Digest)) Option {
	return func(a *Agent) { a.onSuspects = f }
}

// WithEvidence adds to each renewal what this host has counted of running rollouts.
func WithEvidence(f func() []*masticproto.RolloutEvidence) Option {
	return func(a *Agent) { a.evidence = f }
}

// WithLog sets the log.
func WithLog(l logrus.FieldLogger) Option { return func(a *Agent) { a.log = l } }

// WithRenewInterval sets the time between two renewals of the view lease.
func WithRenewInterval(d time.Duration) Option { return func(a *Agent) { a.renewInterval = d } }

// WithOutageShare makes the host admit requests from its share of each workspace's rate while the
// leader is unreachable or the quota owner has not answered for 0.2 s. Without it a request waits
// for a grant; if none arrives in time, the standing share is tried, and without one the request
// is refused.
func WithOutageShare(share func(workspace string) Share) Option {
	return func(a *Agent) { a.outageShares = newShares(share, &a.admissions.Shared) }
}

// WithStandingShare makes the host admit small requests, and those that the quota owner answers
// too late, from a share in addition to the owner's grants. The standing shares of all hosts are
// added to a workspace's rate and burst; they must stay within the overage that the
// installation's limit allows.
func WithStandingShare(share func(workspace string) Share) Option {
	return func(a *Agent) { a.standingShares = newShares(share, &a.admissions.Standing) }
}

// WithKeepers makes the host admit requests by charges at the keepers of quotas while there are some. The owner of
// the quota is then not asked.
func WithKeepers(l masticcall.DividedLimiter) Option { return func(a *Agent) { a.keepers = l } }

// WithLazyAcknowledgement defers the acknowledgement of a view to the next regular renewal of
// the lease, and spreads the hosts' view streams over all control hosts. If a stream's control host
// is partitioned, the next renewal delivers the missing updates. It is for fleets whose publishes
// are answered on commit: with many hosts and revisions, immediate acknowledgements would take all
// of the leader's time.
func WithLazyAcknowledgement() Option { return func(a *Agent) { a.lazyAcknowledgement = true } }

// WithReportInterval sets the time between two usage reports.
func WithReportInterval(d time.Duration) Option { return func(a *Agent) { a.reportInterval = d } }

// WithAttemptTimeout bounds one attempt to reach the leader.
func WithAttemptTimeout(d time.Duration) Option { return func(a *Agent) { a.attemptTimeout = d } }

// WithPublishAttemptTimeout bounds one attempt to publish; it must be longer than the leader's
// own timeout.
func WithPublishAttemptTimeout(d time.Duration) Option {
	return func(a *Agent) { a.publishAttemptTimeout = d }
}

// WithFlushTimeout bounds the return of quota and the last usage report on Stop.
func WithFlushTimeout(d time.Duration) Option { return func(a *Agent) { a.flushTimeout = d } }

// WithQuarantine sets how long a request that crashed backend servers is refused.
func WithQuarantine(d time.Duration) Option { return func(a *Agent) { a.quarantinePeriod = d } }

// WithQuarantineAfter sets the number of backend servers that have to end under a request before it
// is refused; the default is masticsuspect.DefaultQuarantineAfter, for servers that state no
// incarnation at least UnnamedQuarantineAfter. One end before that it needs a hold. All hosts should
// have the same number.
func WithQuarantineAfter(ends int) Option { return func(a *Agent) { a.quarantineAfter = ends } }

// WithOrderRetention sets how long the record of a call that must not be repeated is kept.
func WithOrderRetention(d time.Duration) Option { return func(a *Agent) { a.orderRetention = d } }
