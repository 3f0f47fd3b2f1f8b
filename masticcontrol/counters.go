package masticcontrol

import (
	"sync/atomic"
	"time"
)

// Counters are the role and the event counts of a control host since its process started. They
// outlive a Control that is reopened. They are safe for concurrent use.
type Counters struct {
	// Term is the highest known term. Leads is 1 while this host leads within its lease.
	Term, Leads atomic.Int64
	// Demands and Grants count those handled by the quota's owner. GrantedTokens is the sum of
	// granted tokens.
	Demands, Grants, GrantedTokens atomic.Int64
	// Renewals counts the renewals of hosts that this host answered as leader, RenewalCalls the calls that
	// brought them.
	Renewals, RenewalCalls atomic.Int64
	// Orders counts the load orders passed to Loader.Load once it has returned, also if the loader
	// sent nothing. FailedOrders counts those that failed.
	Orders, FailedOrders atomic.Int64
	// OutdatedEngines is the number of models of engines, over all engines, whose weights are older than named.
	OutdatedEngines atomic.Int64
	// ListFailures counts the failed reads of the list of backend servers.
	ListFailures atomic.Int64
	// ListSkipped is the number of entries that the last reading of the list skipped.
	ListSkipped atomic.Int64
	// LogBytes and SnapshotBytes are the sizes of the files in the data folder.
	LogBytes, SnapshotBytes atomic.Int64
	// StorageRefused counts the commands and the entries of other hosts for which the disk had no room, SnapshotFailures the
	// snapshots that could not be stored on a full disk.
	StorageRefused, SnapshotFailures atomic.Int64
	// RejectedReports counts the reports of hosts that were rejected at once because too many waited.
	RejectedReports atomic.Int64
	// StorageFull is 1 from a write that found the disk full until the next that succeeds. Control is closed meanwhile, or opened
	// again and again.
	StorageFull atomic.Int64
	listReadAt  atomic.Pointer[time.Time]
}

// ListAge returns the time since this host last read the list of backend servers, or minus one
// millisecond if it has never read it.
func (c *Counters) ListAge(now time.Time) time.Duration {
	at := c.listReadAt.Load()
	if at == nil {
		return -time.Millisecond
	}
	return now.Sub(*at)
}

func (c *Counters) recordList(now time.Time, err error) {
	if err != nil {
		c.ListFailures.Add(1)
		return
	}
	c.listReadAt.Store(&now)
}

func (c *Counters) recordRole(term uint64, leads bool) {
	c.Term.Store(int64(term))
	c.Leads.Store(0)
	if leads {
		c.Leads.Store(1)
	}
}

func (c *Counters) recordGrant(tokens int64) {
	c.Demands.Add(1)
	if tokens > 0 {
		c.Grants.Add(1)
		c.GrantedTokens.Add(tokens)
	}
}

// recordRenewals records a call with renewals of hosts.
func (c *Counters) recordRenewals(hosts int) {
	c.RenewalCalls.Add(1)
	c.Renewals.Add(int64(hosts))
}

func (c *Counters) recordOrder(err error) {
	c.Orders.Add(1)
	if err != nil {
		c.FailedOrders.Add(1)
	}
}
