package masticquorum

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

const (
	defaultElectionTimeout     = 500 * time.Millisecond
	defaultHeartbeat           = 100 * time.Millisecond
	defaultMaxAppendBytes      = 256 << 10
	defaultMaxInFlight         = 8
	defaultMaxUncommittedBytes = 64 << 20
	defaultTailEntries         = 512
)

type settings struct {
	id                  string
	storage             string
	group               uint32
	members             []*masticproto.Member
	hard                *masticproto.HardState
	entries             []*masticproto.Entry
	snapshot            *masticproto.Snapshot
	electionTimeout     time.Duration
	heartbeat           time.Duration
	maxAppendBytes      int
	maxInFlight         int
	maxUncommittedBytes int
	tailEntries         uint64
	seed                uint64
	start               time.Time
}

// Option sets one property of a Core.
type Option func(*settings)

// WithID sets the host's name; it is required.
func WithID(id string) Option { return func(s *settings) { s.id = id } }

// WithStorage sets the incarnation of the host's data folder; it is required.
func WithStorage(storage string) Option { return func(s *settings) { s.storage = storage } }

// WithGroup sets the number of the group; messages of other groups are ignored.
func WithGroup(group uint32) Option { return func(s *settings) { s.group = group } }

// WithMembers sets the members that the group starts with, the same on each of them.
// It has no effect once a hard state, a log or a snapshot exists. The first election
// needs the vote of every voter of the list. A host that joins later is given none.
// A host that lost its folder may be given the list again, unless it has one voter alone:
// such a list founds a new group on any empty folder, so it needs an explicit act.
func WithMembers(members []*masticproto.Member) Option {
	return func(s *settings) { s.members = members }
}

// WithHardState sets the stored term and vote.
func WithHardState(hard *masticproto.HardState) Option { return func(s *settings) { s.hard = hard } }

// WithLog sets the stored entries.
func WithLog(entries []*masticproto.Entry) Option { return func(s *settings) { s.entries = entries } }

// WithSnapshot sets the stored snapshot. The owner starts from its data.
func WithSnapshot(snapshot *masticproto.Snapshot) Option {
	return func(s *settings) { s.snapshot = snapshot }
}

// WithElectionTimeout sets the time without a leader after which a host seeks
// election and for which it refuses its vote. It is the same on all hosts.
func WithElectionTimeout(d time.Duration) Option {
	return func(s *settings) { s.electionTimeout = d }
}

// WithHeartbeat sets the time between heartbeat rounds.
func WithHeartbeat(d time.Duration) Option { return func(s *settings) { s.heartbeat = d } }

// WithMaxAppendBytes bounds the entries of one message; a larger single entry goes alone.
func WithMaxAppendBytes(n int) Option { return func(s *settings) { s.maxAppendBytes = n } }

// WithMaxInFlight bounds the unanswered appends to one member.
func WithMaxInFlight(n int) Option { return func(s *settings) { s.maxInFlight = n } }

// WithMaxUncommittedBytes bounds the proposed and not yet committed entries.
func WithMaxUncommittedBytes(n int) Option { return func(s *settings) { s.maxUncommittedBytes = n } }

// WithTail sets how many entries before a snapshot are kept for members that lag.
func WithTail(entries uint64) Option { return func(s *settings) { s.tailEntries = entries } }

// WithSeed sets the seed of the election jitter, which differs between IDs too.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithStart sets the time of the start.
func WithStart(now time.Time) Option { return func(s *settings) { s.start = now } }

func newSettings(options []Option) (settings, error) {
	s := settings{
		electionTimeout:     defaultElectionTimeout,
		heartbeat:           defaultHeartbeat,
		maxAppendBytes:      defaultMaxAppendBytes,
		maxInFlight:         defaultMaxInFlight,
		maxUncommittedBytes: defaultMaxUncommittedBytes,
		tailEntries:         defaultTailEntries,
	}
	for _, o := range options {
		o(&s)
	}
	return s, s.validate()
}

func (s *settings) validate() error {
	switch {
	case s.id == "":
		return masticerror.New(masticerror.KindBadRequest, "a consensus core needs an ID")
	case s.storage == "":
		return masticerror.New(masticerror.KindBadRequest, "a consensus core needs a storage incarnation")
	case s.heartbeat <= 0 || s.electionTimeout < 2*s.heartbeat:
		return masticerror.New(masticerror.KindBadRequest,
			"election timeout %v is less than two heartbeats of %v", s.electionTimeout, s.heartbeat)
	case s.maxAppendBytes <= 0 || s.maxInFlight <= 0 || s.maxUncommittedBytes <= 0:
		return masticerror.New(masticerror.KindBadRequest, "a bound of the consensus core is not positive")
	}
	return nil
}
