package masticdaemon

import (
	"time"

	"masticladder/masticcontrol"
	"masticladder/masticevents"
	"masticladder/masticrelay"
	"masticladder/masticrollout"
	"masticladder/masticschedule"
)

// NodeSettings are the settings of a Node. Addresses are IP:port.
type NodeSettings struct {
	// Peer is the address for other hosts. It is also the host's name, because at the first start
	// a host knows only the addresses of the others.
	Peer string
	Zone string
	// CallerAddress is the address for callers, as address lists state it; empty on hosts that serve
	// none.
	CallerAddress string
	// Weight is the host's share of callers' requests relative to other hosts.
	Weight int64
	// Folder contains all files of a control host; empty on other hosts.
	Folder string
	// Seeds are the peer addresses of the control hosts that this host is configured with, the
	// seeds.
	Seeds []string
	// Bootstrap states that the whole system starts for the first time, with empty folders, so that
	// the seeds form the control group.
	Bootstrap bool
	// ViewLeaseLifetime is the lifetime of view leases. ElectionTimeout and HeartbeatInterval are
	// those of the control group.
	ViewLeaseLifetime, ElectionTimeout, HeartbeatInterval time.Duration
	// ListInterval is the time between two readings of the list of backend servers.
	ListInterval time.Duration
	// AddressListTTL is how long callers may use an address list.
	AddressListTTL time.Duration
	// GracePeriod is the time from the stop signal by which the process must exit.
	GracePeriod time.Duration
	// QuotaSlack is the number of tokens that all hosts together may admit beyond a workspace's
	// rate and burst. QuotaOverage is the fraction of the rate and the burst that they may admit
	// in addition.
	QuotaSlack   int64
	QuotaOverage float64
	// RetryBudgetRatio and RetryBudgetSlack bound the retries of all hosts together: to each pool,
	// over any period, at most the ratio of its requests plus the slack. A ratio of zero means the
	// default budget of each host.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	// Rollout bounds the requests that a software version gets before it is known to be good; the zero value means
	// masticrollout.DefaultBounds.
	Rollout masticrollout.Bounds
	// FailClosed makes the host refuse callers while it cannot reach the control group.
	FailClosed bool
	// VoterRemovalThreshold is the number of voters, this host included, that must remain when an
	// unresponsive voter is removed.
	VoterRemovalThreshold int
	// LoadTimeout is the timeout of a load of weights.
	LoadTimeout time.Duration
	// OldWeightsTimeout is how long after the announcement of new weights backend servers may start requests
	// on older ones; zero means masticschedule.DefaultOldWeightsTimeout.
	OldWeightsTimeout time.Duration
	// MemoryLimitBytes is the memory that the process may use; zero means no limit.
	MemoryLimitBytes int64
	// DiskBytes is the size of the disk that Folder may fill; zero means masticcontrol.DefaultDiskBytes.
	DiskBytes int64
	// MaxDescriptors is the number of file descriptors that the process may open; zero means no limit.
	MaxDescriptors int
}

func (s NodeSettings) oldWeightsTimeout() time.Duration {
	if s.OldWeightsTimeout <= 0 {
		return masticschedule.DefaultOldWeightsTimeout
	}
	return s.OldWeightsTimeout
}

func (s NodeSettings) diskBytes() int64 {
	if s.DiskBytes <= 0 {
		return masticcontrol.DefaultDiskBytes
	}
	return s.DiskBytes
}

func (s NodeSettings) rolloutBounds() masticrollout.Bounds {
	if s.Rollout == (masticrollout.Bounds{}) {
		return masticrollout.DefaultBounds
	}
	return s.Rollout
}

// Protocols are the codecs of a Node's protocols towards callers and backend servers.
type Protocols struct {
	Backends masticrelay.BackendProtocol
	Callers  masticrelay.CallerProtocol
	Identify func(header map[string][]string) string
	Lister   masticcontrol.Lister
	Loader   masticcontrol.Loader
	// Events reads the cache events of engines and stores; nil if there are none.
	Events masticevents.Source
}

const (
	// gcPercent is the heap growth that triggers a garbage collection. It is below Go's default
	// because memory costs more than processor time on the machines of known installations.
	gcPercent = 60
	// memoryLimitFraction is the fraction of MemoryLimitBytes that is the runtime's soft memory limit,
	// above which it collects more aggressively.
	memoryLimitFraction = 0.8
	// bodyMemoryFraction is the fraction of MemoryLimitBytes that request bodies may have together.
	bodyMemoryFraction = 0.15
	// answerMemoryFraction is the fraction of MemoryLimitBytes that heads and parts of events of answers may take
	// together.
	answerMemoryFraction = 0.15
	// callerDescriptorFraction is the fraction of the descriptors available to callers'
	// connections. Backend servers, other hosts and files need the rest. Further connections wait
	// until others close, as those do first that have not sent a complete request.
	callerDescriptorFraction = 0.6
	// shareSafetyFactor scales the shares that all hosts together admit: of a workspace's rate while
	// they cannot reach the control group, and of the overage in addition to the owner's grants. It
	// is below 1 because hosts may disagree for some seconds about which hosts are live.
	shareSafetyFactor = 0.9
	// ownerSlackFraction and standingSlackFraction are the fractions of QuotaSlack that the quota
	// owner and the hosts' standing shares may use. outageSlackFraction is reserved for hosts that
	// cannot reach the control group; a new owner needs the rest.
	ownerSlackFraction    = 0.5
	standingSlackFraction = 0.25
	outageSlackFraction   = 0.2
	// retryBudgetFraction is the fraction of RetryBudgetRatio and RetryBudgetSlack that hosts use.
	// Requests that are refused before they are given to a pool count for the limit, but not here.
	retryBudgetFraction = 0.9
	// quotaAccountingWindow is the window over which the installation's limit sums admitted tokens.
	quotaAccountingWindow = 8 * time.Second
	// minRedialDelay and maxRedialDelay bound the backoff after a failed connection to another
	// host. They are short because the control group is available within some hundred
	// milliseconds when all hosts start at once.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 200 * time.Millisecond
	// metricsHeaderTimeout and metricsReadTimeout bound reading the header and all of a request for the metrics.
	metricsHeaderTimeout = 5 * time.Second
	metricsReadTimeout   = 15 * time.Second
	// shutdownMargin is how long before the end of the grace period the drain ends, so that the
	// process exits in time. In a short grace period it is the last shutdownFraction.
	shutdownMargin   = 900 * time.Millisecond
	shutdownFraction = 6
	// exitMargin is how long before the end of the grace period all connections are closed. In a short grace period it is
	// the last exitFraction.
	exitMargin   = 500 * time.Millisecond
	exitFraction = 10
	// flushTimeout bounds the return of unspent quota at the end.
	flushTimeout = 250 * time.Millisecond
)

// drainTime returns how long a drain may last, from the stop signal.
func (s NodeSettings) drainTime() time.Duration {
	return s.GracePeriod - min(shutdownMargin, s.GracePeriod/shutdownFraction)
}

// openTime returns how long connections may stay open, from the stop signal.
func (s NodeSettings) openTime() time.Duration {
	return s.GracePeriod - min(exitMargin, s.GracePeriod/exitFraction)
}
