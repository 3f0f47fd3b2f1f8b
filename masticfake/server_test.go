package masticfake

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDownIsDownAtOnce: a server that is taken down before its goroutine has begun does not
// accept connections any more.
func TestDownIsDownAtOnce(t *testing.T) {
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
