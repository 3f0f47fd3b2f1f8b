package masticagent

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticview"
	"masticladder/masticwire"
)

// Defaults of the options.
const (
	DefaultRenewInterval   = 600 * time.Millisecond
	DefaultRenewTimeout    = 400 * time.Millisecond
	DefaultAttemptTimeout  = time.Second
	DefaultPublishAttempt  = 5 * time.Second
	DefaultRetryPause      = 50 * time.Millisecond
	DefaultReportInterval  = 5 * time.Second
	DefaultFlushTimeout    = 2 * time.Second
	DefaultReservePatience = 3 * time.Second
	DefaultPendingSuspects = 1024
	DefaultOrderRetention  = 24 * time.Hour
	DefaultQuarantine      = 10 * time.Minute
)

// Option sets one property of an Agent.
type Option func(*Agent)

// WithHost names this host.
func WithHost(name string) Option { return func(a *Agent) { a.host = name } }

// WithIncarnation names this run of the process; the default is random.
func WithIncarnation(name string) Option { return func(a *Agent) { a.incarnation = name } }

// WithControlPeers gives the IP:port of every control host, the nearest first.
func WithControlPeers(addresses ...string) Option {
	return func(a *Agent) { a.peers = addresses }
}

// WithWire sets how other hosts are reached.
func WithWire(w *masticwire.Wire) Option { return func(a *Agent) { a.wire = w } }

// WithOnView has f called, from one goroutine, with each view that this host begins to serve from.
func WithOnView(f func(masticview.View)) Option { return func(a *Agent) { a.onView = f } }

// WithOnSuspects has f called with the digests of all requests that may end a backend server
// whenever the set has changed.
func WithOnSuspects(f func([]masticview.Digest)) Option {
	return func(a *Agent) { a.onSuspects = f }
}

// WithLog sets the log.
func WithLog(l logrus.FieldLogger) Option { return func(a *Agent) { a.log = l } }

// WithRenewInterval sets the time between two renewals of the view lease.
func WithRenewInterval(d time.Duration) Option { return func(a *Agent) { a.renewInterval = d } }

// WithShare makes the host admit requests from its share of each workspace's rate while no
// leader of control is in reach. Without it they are refused.
func WithShare(limit func(workspace string) Share) Option {
	return func(a *Agent) { a.shares = newShares(limit, &a.admissions.Shared) }
}

// WithStandingShare makes the host admit small requests, and those that the owner of the quota
// answers too late, from a share beside the owner's grants. All hosts' standing shares come on
// top of a workspace's rate and burst: they have to stay within what the users allow beyond them.
func WithStandingShare(limit func(workspace string) Share) Option {
	return func(a *Agent) { a.standing = newShares(limit, &a.admissions.Standing) }
}

// WithLazyAcknowledgement leaves the acknowledgement of a view to the next renewal of its
// lease, and spreads the hosts that follow the view over all of control; renewals bring what
// a control host that is cut off does not. It is for fleets whose publishes are answered when
// they are committed: with many hosts and revisions the leader would do nothing else.
func WithLazyAcknowledgement() Option { return func(a *Agent) { a.lazy = true } }

// WithReportInterval sets the time between two usage reports.
func WithReportInterval(d time.Duration) Option { return func(a *Agent) { a.reportInterval = d } }

// WithAttemptTimeout bounds one attempt to reach the leader.
func WithAttemptTimeout(d time.Duration) Option { return func(a *Agent) { a.attempt = d } }

// WithPublishAttempt bounds one attempt to publish; it must be longer than the leader's bound.
func WithPublishAttempt(d time.Duration) Option { return func(a *Agent) { a.publishAttempt = d } }

// WithFlushTimeout bounds the last usage report at the stop.
func WithFlushTimeout(d time.Duration) Option { return func(a *Agent) { a.flush = d } }

// WithQuarantine sets for how long a request that ended backend servers is refused.
func WithQuarantine(d time.Duration) Option { return func(a *Agent) { a.quarantine = d } }

// WithOrderRetention sets how long the record of a call that may not be repeated is kept.
func WithOrderRetention(d time.Duration) Option { return func(a *Agent) { a.orderRetention = d } }
