package masticrelay

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pendingChecks is a server that is unverified until a number of checks were answered.
type pendingChecks struct {
	mutex    sync.Mutex
	left     int
	answered []string
}

func (p *pendingChecks) ObserveCheck(server, incarnation string, _ time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.left--
	p.answered = append(p.answered, server+" "+incarnation)
}

func (p *pendingChecks) Unverified(string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.left > 0
}

// TestServerIsCheckedUntilVerified checks that a server is checked again until it is verified, by one goroutine, and that Close ends the
// checks of a server that does not answer.
func TestServerIsCheckedUntilVerified(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c)
	b := newFixture(c, safe, server)
	b.relay.table.Store(&routingTable{})
	p := &pendingChecks{left: 2}
	b.relay.checks = p
	listed := b.dispatcher.servers[0]
	b.relay.VerifyLeaving(listed)
	b.relay.VerifyLeaving(listed)
	for deadline := time.Now().Add(10 * time.Second); p.Unverified(""); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
	c.Assert(p.answered, qt.DeepEquals, []string{"s0 born", "s0 born"})

	silent := listed
	silent.Name, silent.URL = "silent", "http://127.0.0.1:1"
	p.left = 1
	b.relay.VerifyLeaving(silent)
	b.relay.Close()
	b.relay.VerifyLeaving(silent)
	c.Assert(p.Unverified(""), qt.IsTrue)
}
