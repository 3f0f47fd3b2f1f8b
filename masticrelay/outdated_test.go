package masticrelay

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// knownFreshness is a host that knows whether its view is outdated.
type knownFreshness struct{ outdated bool }

func (k *knownFreshness) Outdated() bool { return k.outdated }

// TestOutdatedHostRejectsRequests: a host that lagged the newest document answered 404 and 401 to callers whose routes and keys it did
// not have yet, which callers don't repeat.
func TestOutdatedHostRejectsRequests(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, okAnswer)
	b := newFixture(c, safe, server)
	known := &knownFreshness{}
	b.relay.freshness = known
	send := func(path, key string) int {
		q, err := http.NewRequest(http.MethodPost, b.front.URL+path, nil)
		c.Assert(err, qt.IsNil)
		q.Header.Set("Key", key)
		a, err := b.front.Client().Transport.RoundTrip(q)
		c.Assert(err, qt.IsNil)
		_ = a.Body.Close()
		return a.StatusCode
	}
	c.Assert(send("/none", testKey), qt.Equals, http.StatusNotFound)
	c.Assert(send("/a/x", "other"), qt.Equals, http.StatusUnauthorized)
	known.outdated = true
	c.Assert(send("/none", testKey), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(send("/a/x", "other"), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(send("/a/x", testKey), qt.Equals, http.StatusOK)
	c.Assert(server.received(), qt.HasLen, 1)
}
