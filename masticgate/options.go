package masticgate

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticengine"
)

// Option configures a Gate.
type Option func(*Gate)

// WithViews sets the source of the view and its lease.
func WithViews(v masticcall.Views) Option { return func(g *Gate) { g.views = v } }

// WithLimiter sets the limiter, which admits requests within the quotas of their workspaces.
func WithLimiter(l masticcall.Limiter) Option { return func(g *Gate) { g.limiter = l } }

// WithLedger sets the record of calls that may not be repeated.
func WithLedger(l masticcall.Ledger) Option { return func(g *Gate) { g.ledger = l } }

// WithUsage sets the receiver of usage records.
func WithUsage(u masticcall.Usage) Option { return func(g *Gate) { g.usage = u } }

// WithSuspects sets the receiver of the digests of requests that ran when a backend server ended.
func WithSuspects(s masticcall.SuspectReporter) Option { return func(g *Gate) { g.suspects = s } }

// WithHolds sets the exclusive holds of backend servers, which keep requests that are suspected
// of crashing servers from running on the same one. Without it they may share a server.
func WithHolds(h masticcall.Holds) Option { return func(g *Gate) { g.holds = h } }

// WithDispatcher sets the dispatcher, which assigns requests to backend servers.
func WithDispatcher(d masticcall.Dispatcher) Option { return func(g *Gate) { g.dispatcher = d } }

// WithAddresses sets the directory of the hosts that a caller should use.
func WithAddresses(a masticcall.Addresses) Option { return func(g *Gate) { g.addresses = a } }

// WithEngine sets the client for requests to backend servers.
func WithEngine(c *masticengine.Client) Option { return func(g *Gate) { g.engine = c } }

// WithLog sets the logger; the default is logrus.StandardLogger.
func WithLog(l *logrus.Logger) Option { return func(g *Gate) { g.log = l } }

// WithClock sets the clock for deadlines, leases and quarantines.
func WithClock(now func() time.Time) Option { return func(g *Gate) { g.now = now } }

// WithHostName sets the name of this host, as reported by /healthz.
func WithHostName(name string) Option { return func(g *Gate) { g.hostName = name } }

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(g *Gate) { g.limits = l } }
