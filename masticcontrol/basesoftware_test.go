package masticcontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// TestBaseSoftwareWaitsForTakeUps checks that a version becomes the base only when the former one has had no
// server for as long as callers may take up its streams.
func TestBaseSoftwareWaitsForTakeUps(t *testing.T) {
	c := qt.New(t)
	server := masticview.Server{Name: "a", Kind: masticview.ServerEngine, State: masticview.ServerActive, Service: "engines", Software: "v2"}
	gone := masticview.View{}.WithBaseSoftware("engines", "v1").WithServer(server)
	server.Name, server.Software = "b", "v1"
	back := gone.WithServer(server)
	b := &baseSoftware{goneSince: map[string]time.Time{}}
	now := time.Unix(1000, 0)
	step := func(v masticview.View, d time.Duration) map[string]string {
		now = now.Add(d)
		return b.due(now, v, 0)
	}
	c.Assert(step(gone, 0), qt.HasLen, 0)
	c.Assert(step(gone, minBaseSoftwareRetention-time.Second), qt.HasLen, 0)
	c.Assert(step(back, 500*time.Millisecond), qt.HasLen, 0)
	c.Assert(step(gone, 500*time.Millisecond), qt.HasLen, 0, qt.Commentf("a server of the base was back"))
	c.Assert(step(gone, minBaseSoftwareRetention-time.Second), qt.HasLen, 0)
	c.Assert(step(gone, time.Second), qt.DeepEquals, map[string]string{"engines": "v2"})
}
