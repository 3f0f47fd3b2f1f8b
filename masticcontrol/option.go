package masticcontrol

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticstore"
	"masticladder/masticwire"
)

// Defaults of the options.
const (
	DefaultElectionTimeout = 300 * time.Millisecond
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultViewLease       = 2 * time.Second
	DefaultForceMargin     = 2 * time.Second
	DefaultTickInterval    = time.Minute
	DefaultSnapshotEntries = 8192
	DefaultBatchCalls      = 1024
	DefaultCalls           = 8192
	DefaultMessages        = 4096
)

type settings struct {
	id              string
	folder          string
	address         string
	members         []*masticproto.Member
	wire            *masticwire.Wire
	log             logrus.FieldLogger
	electionTimeout time.Duration
	heartbeat       time.Duration
	viewLease       time.Duration
	forceMargin     time.Duration
	tickInterval    time.Duration
	snapshotEntries uint64
	tailEntries     uint64
	batchCalls      int
	seed            uint64
	storeOptions    []masticstore.Option
	placeOptions    []masticplace.Option
	loader          Loader
	loadSenders     int
	pushInterval    time.Duration
	lister          Lister
	listInterval    time.Duration
	quotaSlack      int64
	keptVoters      int
	counters        *Counters
	ownShares       ownShares
}

// Option sets one property of a Control.
type Option func(*settings)

// WithCounters sets where the host counts what it does.
func WithCounters(c *Counters) Option { return func(s *settings) { s.counters = c } }

// WithID names this host.
func WithID(id string) Option { return func(s *settings) { s.id = id } }

// WithFolder sets the data folder.
func WithFolder(folder string) Option { return func(s *settings) { s.folder = folder } }

// WithAddress sets the IP:port on which other hosts are served.
func WithAddress(address string) Option { return func(s *settings) { s.address = address } }

// WithMembers sets the members with which the group starts, the same on each of them.
// A host that joins later is given none.
func WithMembers(members ...*masticproto.Member) Option {
	return func(s *settings) { s.members = members }
}

// WithWire sets how other hosts are reached.
func WithWire(w *masticwire.Wire) Option { return func(s *settings) { s.wire = w } }

// WithLog sets the log.
func WithLog(l logrus.FieldLogger) Option { return func(s *settings) { s.log = l } }

// WithElectionTimeout sets the time without a leader after which an election begins.
func WithElectionTimeout(d time.Duration) Option {
	return func(s *settings) { s.electionTimeout = d }
}

// WithHeartbeat sets the time between two heartbeats of the leader.
func WithHeartbeat(d time.Duration) Option { return func(s *settings) { s.heartbeat = d } }

// WithViewLease sets the span of a view lease, the same on all control hosts.
func WithViewLease(d time.Duration) Option { return func(s *settings) { s.viewLease = d } }

// WithForceMargin sets how much longer than one lease span a publish waits to be in force.
func WithForceMargin(d time.Duration) Option { return func(s *settings) { s.forceMargin = d } }

// WithTickInterval sets the time between two commands that drop what is past its retention.
func WithTickInterval(d time.Duration) Option { return func(s *settings) { s.tickInterval = d } }

// WithSnapshotEntries sets after how many entries the log is compacted, and how many
// entries are kept for hosts that lag.
func WithSnapshotEntries(every, tail uint64) Option {
	return func(s *settings) { s.snapshotEntries, s.tailEntries = every, tail }
}

// WithBatchCalls bounds the calls that one sync serves.
func WithBatchCalls(n int) Option { return func(s *settings) { s.batchCalls = n } }

// WithSeed sets the seed of the election jitter.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithLoader makes the leader order weights by way of l, with senders orders under way at
// once and the planner's options. Without it no weights are ordered.
func WithLoader(l Loader, senders int, options ...masticplace.Option) Option {
	return func(s *settings) { s.loader, s.loadSenders, s.placeOptions = l, senders, options }
}

// WithLister makes the leader read the list of backend servers each interval.
func WithLister(l Lister, interval time.Duration) Option {
	return func(s *settings) { s.lister, s.listInterval = l, interval }
}

// WithPushInterval sets the least time between two messages to the hosts that follow the
// view; the default is none.
func WithPushInterval(d time.Duration) Option { return func(s *settings) { s.pushInterval = d } }

// WithQuotaSlack adds tokens to the burst of each workspace that a document states.
func WithQuotaSlack(tokens int64) Option { return func(s *settings) { s.quotaSlack = tokens } }

// WithVoterRemoval makes the leader remove a voter that has been silent for long, as long as
// the given number of others answers. Without it only operators remove voters.
func WithVoterRemoval(kept int) Option { return func(s *settings) { s.keptVoters = kept } }

// WithOwnShares says that hosts out of the leader's reach admit by themselves, all together
// part of each rate that a document states, of which the users allow spare tokens a second
// beyond the rate. The leader grants less while hosts are out of its reach.
func WithOwnShares(part float64, spare int64) Option {
	return func(s *settings) { s.ownShares = ownShares{part, spare} }
}

// WithStoreOptions passes options to the store.
func WithStoreOptions(options ...masticstore.Option) Option {
	return func(s *settings) { s.storeOptions = options }
}
