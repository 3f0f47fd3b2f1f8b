package masticrelay

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTrialOfSilentServerIsNotReported: a request that ran as a trial and got no answer until its deadline, or until its caller left, was
// put down to the caller. Its server was not checked, its hold ended at once, and the next trial ended another server.
func TestTrialOfSilentServerIsNotReported(t *testing.T) {
	for _, x := range []struct {
		name string
		// lives reports that the server answers checks, leaves that the caller leaves before the deadline.
		lives, leaves bool
		events        []string
	}{
		{name: "silent until the deadline", events: []string{"hold s1", "report s1 born lost 1", "release s1 false"}},
		{name: "silent until the caller leaves", leaves: true, events: []string{"hold s1", "report s1 born lost 1", "release s1 false"}},
		{name: "slow", lives: true, events: []string{"hold s1", "release s1 false"}},
		{name: "slow, and the caller leaves", lives: true, leaves: true, events: []string{"hold s1", "release s1 false"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			route := once
			route.Timeout = 300 * time.Millisecond
			b := newFixture(c, route, newRawServer(c), newRawServer(c, "HANG"))
			b.dispatcher.servers = b.dispatcher.servers[1:]
			if !x.lives {
				// Connections are opened, and nobody answers.
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				c.Cleanup(func() { _ = l.Close() })
				b.dispatcher.servers[0].URL = "http://" + l.Addr().String()
			}
			b.suspects.suspected = true
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if x.leaves {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, b.front.URL+"/a/x", nil)
			c.Assert(err, qt.IsNil)
			q.Header.Set("Key", testKey)
			if a, err := b.front.Client().Transport.RoundTrip(q); err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
			var events []string
			for !slices.Contains(events, "release s1 false") {
				time.Sleep(time.Millisecond)
				events = append(events, b.suspects.takeEvents()...)
			}
			c.Assert(events, qt.DeepEquals, x.events)
		})
	}
}
