package masticfake

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDownStopsListeningImmediately checks that a server which is stopped before the goroutine that
// serves it has started accepts no more connections.
func TestDownStopsListeningImmediately(t *testing.T) {
	c := qt.New(t)
	for range 200 {
		s, err := Serve(NewService("s"))
		c.Assert(err, qt.IsNil)
		address := s.address
		s.Down()
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		c.Assert(err, qt.IsNotNil)
	}
}
