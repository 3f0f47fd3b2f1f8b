package masticquorum

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

const (
	defaultElectionTimeout     = 500 * time.Millisecond
	defaultHeartbeatInterval   = 100 * time.Millisecond
	defaultMaxAppendBytes      = 256 << 10
	defaultMaxInFlight         = 8
	defaultMaxUncommittedBytes = 64 << 20
	defaultRetainedEntries     = 512
	defaultRetainedBytes       = 4 << 20
)

type settings struct {
	id                  string
	storage             string
	group               uint32
	members             []*masticproto.Member
	membersGivenOnce    bool
	storedHardState     *masticproto.HardState
	entries             []*masticproto.Entry
	snapshot            *masticproto.Snapshot
	electionTimeout     time.Duration
	heartbeatInterval   time.Duration
	maxAppendBytes      int
	maxInFlight         int
	maxUncommittedBytes int
	retainedEntries     uint64
	retainedBytes       int
	seed                uint64
	start               time.Time
}

// Option sets one property of a Core.
type Option func(*settings)

// WithID sets the host's ID. It is required.
func WithID(id string) Option { return func(s *settings) { s.id = id } }

// WithStorageIncarnation sets the incarnation of the host's data folder. It is required.
func WithStorageIncarnation(storage string) Option { return func(s *settings) { s.storage = storage } }

// WithGroup sets the number of the group; messages of other groups are ignored.
func WithGroup(group uint32) Option { return func(s *settings) { s.group = group } }

// WithMembers sets the initial members of the group. The list has to be the same on all of
// them and is not given to a host that joins later. It has no effect once a hard state, a log
// or a snapshot exists. The first election needs the vote of every voter in the list.
// A host that lost its data folder may be given the list again, unless the list has only
// one voter: such a list bootstraps a new group on any empty data folder, so an operator has to
// ask for it explicitly.
func WithMembers(members []*masticproto.Member) Option {
	return func(s *settings) { s.members = members }
}

// WithMembersGivenOnce states that the list of WithMembers is given to each host at its first start only, so that a host
// that lost its data folder has none. Until the storage of a voter is bound, only the folder with which it was given the list
// counts, and the first election needs a quorum.
func WithMembersGivenOnce() Option { return func(s *settings) { s.membersGivenOnce = true } }

// WithHardState sets the stored hard state: term, vote and initial members.
func WithHardState(hardState *masticproto.HardState) Option {
	return func(s *settings) { s.storedHardState = hardState }
}

// WithEntries sets the stored entries.
func WithEntries(entries []*masticproto.Entry) Option {
	return func(s *settings) { s.entries = entries }
}

// WithSnapshot sets the stored snapshot. The owner restores its state machine from the data
// itself, as the first Ready does not return the snapshot.
func WithSnapshot(snapshot *masticproto.Snapshot) Option {
	return func(s *settings) { s.snapshot = snapshot }
}

// WithElectionTimeout sets the minimum time without a message from the leader after which a
// host starts an election, and the time after such a message for which it refuses votes. It
// has to be the same on all hosts.
func WithElectionTimeout(d time.Duration) Option {
	return func(s *settings) { s.electionTimeout = d }
}

// WithHeartbeatInterval sets the interval between heartbeat rounds.
func WithHeartbeatInterval(d time.Duration) Option {
	return func(s *settings) { s.heartbeatInterval = d }
}

// WithMaxAppendBytes limits the size of the entries in one message. An entry larger than that
// is sent on its own.
func WithMaxAppendBytes(n int) Option { return func(s *settings) { s.maxAppendBytes = n } }

// WithMaxInFlight limits the number of unanswered appends to one member.
func WithMaxInFlight(n int) Option { return func(s *settings) { s.maxInFlight = n } }

// WithMaxUncommittedBytes limits the size of the entries that are proposed and not yet committed.
func WithMaxUncommittedBytes(n int) Option { return func(s *settings) { s.maxUncommittedBytes = n } }

// WithRetainedEntries sets how many entries before a snapshot are retained for members that lag
// behind.
func WithRetainedEntries(entries uint64) Option {
	return func(s *settings) { s.retainedEntries = entries }
}

// WithRetainedBytes limits the size of the entries that are retained before a snapshot.
func WithRetainedBytes(n int) Option { return func(s *settings) { s.retainedBytes = n } }

// WithSeed sets the seed of the election jitter. The host's ID is mixed in, so hosts with the
// same seed have different jitter.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithStartTime sets the time at which the Core starts. The host refuses votes for an election
// timeout from then on, as it may have answered a leader shortly before a restart.
func WithStartTime(now time.Time) Option { return func(s *settings) { s.start = now } }

func newSettings(options []Option) (settings, error) {
	s := settings{
		electionTimeout:     defaultElectionTimeout,
		heartbeatInterval:   defaultHeartbeatInterval,
		maxAppendBytes:      defaultMaxAppendBytes,
		maxInFlight:         defaultMaxInFlight,
		maxUncommittedBytes: defaultMaxUncommittedBytes,
		retainedEntries:     defaultRetainedEntries,
		retainedBytes:       defaultRetainedBytes,
	}
	for _, o := range options {
		o(&s)
	}
	return s, s.validate()
}

func (s *settings) validate() error {
	switch {
	case s.id == "":
		return masticerror.New(masticerror.KindBadRequest, "create consensus core: no ID is set")
	case s.storage == "":
		return masticerror.New(masticerror.KindBadRequest, "create consensus core: no storage incarnation is set")
	case s.heartbeatInterval <= 0 || s.electionTimeout < 2*s.heartbeatInterval:
		return masticerror.New(masticerror.KindBadRequest,
			"create consensus core: election timeout %v is less than twice the heartbeat interval %v",
			s.electionTimeout, s.heartbeatInterval)
	case s.maxAppendBytes <= 0 || s.maxInFlight <= 0 || s.maxUncommittedBytes <= 0:
		return masticerror.New(masticerror.KindBadRequest,
			"create consensus core: a limit on appends or uncommitted entries is not positive")
	}
	return nil
}
