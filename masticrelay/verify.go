package masticrelay

import (
	"context"
	"time"

	"masticladder/masticview"
)

// verifyInterval is the time between two checks of a server that may be leaving.
const verifyInterval = 500 * time.Millisecond

// VerifyLeaving checks a backend server, as the view lists it, until it is known which incarnation of it has stated that it
// is leaving.
func (c *Relay) VerifyLeaving(server masticview.Server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, running := c.verifying[server.Name]
	if c.checks == nil || c.closing.Err() != nil {
		return
	}
	c.verifying[server.Name] = server
	if !running {
		c.trials.Add(1)
		go (&leavingVerification{relay: c, server: server.Name}).run()
	}
}

// leavingVerification is the checks of one server.
type leavingVerification struct {
	relay  *Relay
	server string
}

func (v *leavingVerification) run() {
	defer v.relay.trials.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-v.relay.closing.Done():
			return
		}
		if !v.check() {
			return
		}
		timer.Reset(verifyInterval)
	}
}

// check checks the server once. It reports false if it need not be checked any more.
func (v *leavingVerification) check() bool {
	c := v.relay
	server, unverified := v.next()
	if !unverified {
		return false
	}
	ctx, cancel := context.WithTimeout(c.closing, serverCheckTimeout)
	defer cancel()
	(&livenessChecker{relay: c}).Check(ctx, server, "")
	return true
}

// next returns the server to check, false if it need not be checked any more.
func (v *leavingVerification) next() (masticview.Server, bool) {
	c := v.relay
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.checks.Unverified(v.server) {
		delete(c.verifying, v.server)
		return masticview.Server{}, false
	}
	return c.verifying[v.server], true
}
