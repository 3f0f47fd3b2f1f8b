package masticwire

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestSilence checks when a connection counts as dead: three calls that were started together and timed out
// closed a connection on which other answers arrived, with all other calls on it.
func TestSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type call struct{ now, startedAt, arrivedAt int }
	for name, x := range map[string]struct {
		calls []call
		dead  bool
	}{
		"together, short timeout":            {[]call{{150, 0, -1}, {150, 0, -1}, {150, 0, -1}, {150, 0, -1}}, false},
		"one after the other for a second":   {[]call{{150, 0, -1}, {500, 350, -1}, {1010, 860, -1}}, true},
		"two calls":                          {[]call{{600, 0, -1}, {1200, 700, -1}}, false},
		"together, timeout over a second":    {[]call{{1100, 0, -1}, {1100, 0, -1}, {1100, 0, -1}}, true},
		"other answers arrive":               {[]call{{150, 0, 100}, {600, 450, 500}, {1200, 1050, 1100}, {1800, 1650, 1700}}, false},
		"an answer between":                  {[]call{{150, 0, -1}, {500, 350, -1}, {900, 750, 700}, {1010, 860, 700}}, false},
		"silent again after an answer":       {[]call{{150, 0, -1}, {900, 750, 700}, {1300, 1150, 700}, {1800, 1650, 700}}, true},
		"the first call timed out last":      {[]call{{700, 600, -1}, {900, 800, -1}, {1000, 0, -1}}, true},
		"arrived before the calls, long ago": {[]call{{5150, 5000, 10}, {5150, 5000, 10}, {5150, 5000, 10}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s silence
			dead := false
			for _, a := range x.calls {
				s, dead = s.withUnanswered(at(a.now), at(a.startedAt), at(a.arrivedAt))
			}
			quicktest.Assert(t, dead, quicktest.Equals, x.dead)
		})
	}
}

// TestUnansweredCallsKeepConnection: on a connection on which a host answered some calls and left others
// unanswered, three timeouts broke the calls that were answered.
func TestUnansweredCallsKeepConnection(t *testing.T) {
	c := quicktest.New(t)
	w := New()
	s, e := serve(t, w)
	client := connect(t, w, s.Address())
	callUntilAnswered(t, client)
	client.mutex.Lock()
	session := client.session
	client.mutex.Unlock()
	for range 2 * maxUnansweredCalls {
		_, err := client.Call(withTimeout(t, 20*time.Millisecond), namedRequest("wait"))
		c.Assert(err, quicktest.IsNotNil)
		<-e.ended
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	c.Assert(client.session == session, quicktest.IsTrue)
}
