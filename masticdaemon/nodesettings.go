package masticdaemon

import (
	"time"

	"masticladder/masticcontrol"
	"masticladder/masticcourse"
)

// NodeSettings are the settings of a Node. Addresses are IP:port.
type NodeSettings struct {
	// Peer serves other hosts. It is the host's name too: a host of the first start knows no
	// more of the others than their addresses.
	Peer string
	Zone string
	// Callers is the address that callers are told; empty on hosts that take none.
	Callers string
	// Weight is the host's share of callers relative to other hosts.
	Weight int64
	// Folder holds all files of a control host; empty on others.
	Folder string
	// Founders are the peer addresses of control hosts that this host was told of.
	Founders []string
	// Found reports that the whole system starts for the first time, with empty folders.
	Found bool
	// ViewLease, Election and Heartbeat are those of control.
	ViewLease, Election, Heartbeat time.Duration
	// ListInterval is the time between two readings of the list of backend servers.
	ListInterval time.Duration
	// AddressSpan is how long callers keep an address answer.
	AddressSpan time.Duration
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// QuotaSlack is what all hosts together may admit beyond a workspace's rate and burst, in
	// tokens, and QuotaOverage the part of both that they may admit beyond.
	QuotaSlack   int64
	QuotaOverage float64
	// FailClosed makes the host refuse callers while it is out of control's reach.
	FailClosed bool
	// KeptVoters is the number of answering voters above which a silent one is removed.
	KeptVoters int
	// LoadSpan is the time within which a load of weights has to end.
	LoadSpan time.Duration
	// MemoryBytes is what the process may use; zero sets no bound.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open; zero sets no bound.
	Descriptors int
}

// Protocols are the codecs of a Node.
type Protocols struct {
	Backends masticcourse.Backends
	Callers  masticcourse.Callers
	Identify func(header map[string][]string) string
	Lister   masticcontrol.Lister
	Loader   masticcontrol.Loader
}

const (
	// collectPercent is the growth of the heap at which it is collected: memory costs more
	// than processor time on the users' machines.
	collectPercent = 60
	// memoryPart is the part of the allowed memory at which the runtime collects harder.
	memoryPart = 0.8
	// callersPart is the part of the descriptors that callers' connections may take. Backend
	// servers, other hosts and files need the rest; more callers wait until others leave.
	callersPart = 0.6
	// shareMargin is the part of a workspace's rate that hosts out of control's reach use, and
	// of the overage that they use beside the owner's grants: they may differ for some
	// seconds about which hosts are live.
	shareMargin = 0.9
	// ownerSlack and standingSlack are the parts of the slack of quotas that the owner and the
	// hosts' standing shares may use; spareSlack is left for hosts out of reach, and a new
	// owner needs the rest.
	ownerSlack    = 0.5
	standingSlack = 0.25
	spareSlack    = 0.2
	// quotaWindow is the time over which the users sum up what was admitted.
	quotaWindow = 8 * time.Second
	// dialPauseLeast and dialPauseMost bound the pause after a failed connection to another
	// host: when all start at once, control is there within some hundred milliseconds.
	dialPauseLeast = 20 * time.Millisecond
	dialPauseMost  = 200 * time.Millisecond
	// metricsTimeout bounds the reading of a request for the metrics.
	metricsTimeout = 5 * time.Second
	// exitMargin is how long before the end of the grace period the process has stopped.
	exitMargin = 900 * time.Millisecond
)
