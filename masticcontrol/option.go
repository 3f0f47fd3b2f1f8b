package masticcontrol

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticrollout"
	"masticladder/masticstore"
	"masticladder/masticwire"
)

// Defaults of the options, and the sizes of the loop's queues.
const (
	DefaultElectionTimeout   = 300 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultViewLeaseLifetime = 2 * time.Second
	DefaultInForceMargin     = 2 * time.Second
	DefaultTickInterval      = time.Minute
	DefaultSnapshotEntries   = 8192
	DefaultBatchCalls        = 1024
	DefaultCallQueueSize     = 8192
	DefaultMessageQueueSize  = 4096
)

type settings struct {
	id                string
	folder            string
	address           string
	members           []*masticproto.Member
	membersGivenOnce  bool
	wire              *masticwire.Wire
	log               logrus.FieldLogger
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	viewLeaseLifetime time.Duration
	inForceMargin     time.Duration
	tickInterval      time.Duration
	snapshotEntries   uint64
	retainedEntries   uint64
	diskBytes         int64
	batchCalls        int
	seed              uint64
	storeOptions      []masticstore.Option
	placeOptions      []masticplace.Option
	loader            Loader
	loadSenders       int
	pushInterval      time.Duration
	lister            Lister
	listInterval      time.Duration
	quotaSlack        int64
	minVoters         int
	counters          *Counters
	outageShares      outageShares
	receive           func(*masticproto.PeerRequest)
	rolloutBounds     masticrollout.Bounds
}

// Option sets one property of a Control.
type Option func(*settings)

// WithReceiver sets the receiver of one-way messages that are not for control, on a host where control
// and other components have one address.
func WithReceiver(receive func(*masticproto.PeerRequest)) Option {
	return func(s *settings) { s.receive = receive }
}

// WithCounters sets the counters that this host updates.
func WithCounters(c *Counters) Option { return func(s *settings) { s.counters = c } }

// WithID sets this host's identifier.
func WithID(id string) Option { return func(s *settings) { s.id = id } }

// WithFolder sets the data folder.
func WithFolder(folder string) Option { return func(s *settings) { s.folder = folder } }

// WithAddress sets the IP:port on which this host serves other hosts.
func WithAddress(address string) Option { return func(s *settings) { s.address = address } }

// WithMembers sets the initial members of the control group, the same on each of them. A host
// that joins later is given none.
func WithMembers(members ...*masticproto.Member) Option {
	return func(s *settings) { s.members = members }
}

// WithMembersGivenOnce states that a host is given the initial members at its first start only. A quorum of them then founds the
// group.
func WithMembersGivenOnce() Option { return func(s *settings) { s.membersGivenOnce = true } }

// WithWire sets the transport to other hosts.
func WithWire(w *masticwire.Wire) Option { return func(s *settings) { s.wire = w } }

// WithLog sets the logger.
func WithLog(l logrus.FieldLogger) Option { return func(s *settings) { s.log = l } }

// WithElectionTimeout sets the time without a leader after which an election starts.
func WithElectionTimeout(d time.Duration) Option {
	return func(s *settings) { s.electionTimeout = d }
}

// WithHeartbeatInterval sets the interval between the leader's heartbeats.
func WithHeartbeatInterval(d time.Duration) Option {
	return func(s *settings) { s.heartbeatInterval = d }
}

// WithViewLeaseLifetime sets the lifetime of a view lease, the same on all control hosts.
func WithViewLeaseLifetime(d time.Duration) Option {
	return func(s *settings) { s.viewLeaseLifetime = d }
}

// WithInForceMargin sets how much longer than one lease lifetime a publish waits to be in force.
func WithInForceMargin(d time.Duration) Option { return func(s *settings) { s.inForceMargin = d } }

// WithTickInterval sets the interval between the commands that drop records past their retention.
func WithTickInterval(d time.Duration) Option { return func(s *settings) { s.tickInterval = d } }

// WithSnapshotEntries sets the number of entries after which the log is compacted, and the number
// of entries kept for followers that lag.
func WithSnapshotEntries(every, tail uint64) Option {
	return func(s *settings) { s.snapshotEntries, s.retainedEntries = every, tail }
}

// WithDiskBytes sets the size of the disk that the data folder may fill; the default is DefaultDiskBytes.
func WithDiskBytes(n int64) Option { return func(s *settings) { s.diskBytes = n } }

// WithBatchCalls bounds the calls in one batch, which share one sync.
func WithBatchCalls(n int) Option { return func(s *settings) { s.batchCalls = n } }

// WithSeed sets the seed of the election jitter.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithLoader makes the leader order the loading of weights through l, with at most senders
// concurrent orders and the given options of the planner. Without it no weights are ordered.
func WithLoader(l Loader, senders int, options ...masticplace.Option) Option {
	return func(s *settings) { s.loader, s.loadSenders, s.placeOptions = l, senders, options }
}

// WithLister makes the leader read the list of backend servers once per interval.
func WithLister(l Lister, interval time.Duration) Option {
	return func(s *settings) { s.lister, s.listInterval = l, interval }
}

// WithPushInterval sets the minimum interval between two pushes to the hosts that watch the view,
// and between two plans of the loads of weights; the default is zero.
func WithPushInterval(d time.Duration) Option { return func(s *settings) { s.pushInterval = d } }

// WithQuotaSlack adds tokens to the burst of each workspace in the document.
func WithQuotaSlack(tokens int64) Option { return func(s *settings) { s.quotaSlack = tokens } }

// WithVoterRemoval makes the leader remove a member that masticquorum.Core.UnresponsiveMember names, as
// long as at least minVoters voters remain, the leader included. Without it only operators remove members.
func WithVoterRemoval(minVoters int) Option {
	return func(s *settings) { s.minVoters = minVoters }
}

// WithOutageShares sets what hosts that cannot reach the leader admit without grants. fraction is the
// part of each workspace's rate that all hosts together admit if all are unreachable.
// allowanceTokensPerSecond is how far the installation's limit allows them to exceed the rate. The
// leader grants less while hosts are unreachable.
func WithOutageShares(fraction float64, allowanceTokensPerSecond int64) Option {
	return func(s *settings) { s.outageShares = outageShares{fraction, allowanceTokensPerSecond} }
}

// WithStoreOptions sets the options of the store.
func WithStoreOptions(options ...masticstore.Option) Option {
	return func(s *settings) { s.storeOptions = options }
}
