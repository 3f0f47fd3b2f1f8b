package masticcontrol

import (
	"sync/atomic"
	"time"
)

// Counters tell what a control host is and what it has done since its process began. They
// outlive a Control that is opened again. They are safe for concurrent use.
type Counters struct {
	// Term is the newest known, Leads is 1 while this host leads within its lease.
	Term, Leads atomic.Int64
	// Demands and Grants are those of the quota's owner, GrantedTokens their sum.
	Demands, Grants, GrantedTokens atomic.Int64
	// Orders are the load orders that were sent, FailedOrders those without success.
	Orders, FailedOrders atomic.Int64
	// ListFailures are the readings of the list of backend servers that failed.
	ListFailures atomic.Int64
	listed       atomic.Pointer[time.Time]
}

// ListAge returns the age of the list of backend servers that this host read last, or minus
// one millisecond where it has read none.
func (c *Counters) ListAge(now time.Time) time.Duration {
	at := c.listed.Load()
	if at == nil {
		return -time.Millisecond
	}
	return now.Sub(*at)
}

func (c *Counters) noteList(now time.Time, err error) {
	if err != nil {
		c.ListFailures.Add(1)
		return
	}
	c.listed.Store(&now)
}

func (c *Counters) noteRole(term uint64, leads bool) {
	c.Term.Store(int64(term))
	c.Leads.Store(0)
	if leads {
		c.Leads.Store(1)
	}
}

func (c *Counters) noteGrant(tokens int64) {
	c.Demands.Add(1)
	if tokens > 0 {
		c.Grants.Add(1)
		c.GrantedTokens.Add(tokens)
	}
}

func (c *Counters) noteOrder(err error) {
	c.Orders.Add(1)
	if err != nil {
		c.FailedOrders.Add(1)
	}
}
