package masticgate

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticengine"
)

// Option configures a Gate.
type Option func(*Gate)

// WithViews sets where the view comes from.
func WithViews(v masticcall.Views) Option { return func(g *Gate) { g.views = v } }

// WithLimiter sets the quota of the workspaces.
func WithLimiter(l masticcall.Limiter) Option { return func(g *Gate) { g.limiter = l } }

// WithLedger sets the record of calls that may not be repeated.
func WithLedger(l masticcall.Ledger) Option { return func(g *Gate) { g.ledger = l } }

// WithUsage sets what takes the use of requests.
func WithUsage(u masticcall.Usage) Option { return func(g *Gate) { g.usage = u } }

// WithSuspects sets what takes the digests that ran when a backend server ended.
func WithSuspects(s masticcall.Suspects) Option { return func(g *Gate) { g.suspects = s } }

// WithHolds sets what keeps requests apart that may end a backend server. Without it they are not.
func WithHolds(h masticcall.Holds) Option { return func(g *Gate) { g.holds = h } }

// WithDispatcher sets what assigns requests to backend servers.
func WithDispatcher(d masticcall.Dispatcher) Option { return func(g *Gate) { g.dispatcher = d } }

// WithAddresses sets what answers which hosts a caller should use.
func WithAddresses(a masticcall.Addresses) Option { return func(g *Gate) { g.addresses = a } }

// WithEngine sets the client towards backend servers.
func WithEngine(c *masticengine.Client) Option { return func(g *Gate) { g.engine = c } }

// WithLog sets the log.
func WithLog(l *logrus.Logger) Option { return func(g *Gate) { g.log = l } }

// WithClock sets the time that deadlines, leases and quarantines are held against.
func WithClock(now func() time.Time) Option { return func(g *Gate) { g.now = now } }

// WithHostName sets the name of this host, as answered by /healthz.
func WithHostName(name string) Option { return func(g *Gate) { g.hostName = name } }

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(g *Gate) { g.limits = l } }
