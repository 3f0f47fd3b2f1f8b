package masticassign

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"masticladder/masticwire"
)

// TestConnectionsToFormerCoordinatorsAddUp: a host kept its connection to each host that had ever been a
// coordinator.
func TestConnectionsToFormerCoordinatorsAddUp(t *testing.T) {
	c := qt.New(t)
	client := NewClient(masticwire.New(), metrics.NewRegistry())
	defer client.Close()
	for _, peer := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		_, err := client.client(peer)
		c.Assert(err, qt.IsNil)
	}
	client.clients["127.0.0.1:1"].usedAt = time.Now().Add(-2 * unusedTimeout)
	_, err := client.client("127.0.0.1:3")
	c.Assert(err, qt.IsNil)
	c.Assert(client.clients, qt.HasLen, 2)
	c.Assert(client.clients["127.0.0.1:1"], qt.IsNil)
}
