package masticrelay

import (
	"context"
	"sync"
	"time"

	"masticladder/masticerror"
)

const (
	// firstDocumentDelay is the time from start-up to the first document when all hosts restart:
	// 0.45 s after all were killed, 0.9 s after a power loss (hosts start up to 0.3 s apart).
	firstDocumentDelay = 900 * time.Millisecond
	// firstDocumentTimeout bounds the wait of a request for the first document. A request that
	// waits is still answered in time, whereas one that is refused and retried is late.
	firstDocumentTimeout = 350 * time.Millisecond
)

// waitForTable returns the routing table to serve from. If there is no document yet, it waits
// up to firstDocumentTimeout for the first one.
func (c *Relay) waitForTable(ctx context.Context) (*routingTable, *masticerror.Error) {
	if t := c.table.Load(); t != nil && t.index != nil {
		return t, nil
	}
	timer := time.NewTimer(firstDocumentTimeout)
	defer timer.Stop()
	select {
	case <-c.firstDocument.available:
		return c.table.Load(), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	wait := max(0, time.Until(c.startedAt.Add(firstDocumentDelay)))
	return nil, masticerror.New(masticerror.KindNoLease, "this host has no document yet").WithRetryAfter(wait + c.retryAfter())
}

// firstDocument notifies waiting requests of the first document.
type firstDocument struct {
	available chan struct{}
	once      sync.Once
}

func (f *firstDocument) notify() { f.once.Do(f.close) }

func (f *firstDocument) close() { close(f.available) }
