package masticbackend

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOnlyServerWithoutListenerRefuses checks that a server counts as ended only if nothing listens
// at its address, and that the connection of the check to a live server is kept.
func TestOnlyServerWithoutListenerRefuses(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	client := New()
	refused, err := client.Refuses(address)
	c.Assert(refused, qt.IsFalse)
	c.Assert(err, qt.IsNil)
	kept := client.getIdle(address)
	c.Assert(kept, qt.Not(qt.IsNil))
	kept.close()
	c.Assert(l.Close(), qt.IsNil)
	refused, err = client.Refuses(address)
	c.Assert(refused, qt.IsTrue)
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(client.getIdle(address), qt.IsNil)
}
