package masticgate

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
	"masticladder/masticview"
)

// withSoftware sets the software versions of servers.
func (b *fixture) withSoftware(versions map[string]string) {
	b.views.change(func(v masticview.View) masticview.View {
		for name, version := range versions {
			s, _ := v.Server(name)
			s.Software = version
			v = v.WithServer(s)
		}
		return v
	})
}

// TestStreamGoesOnAtAnotherSoftwareVersion: a stream that broke after its first events went on at the next
// engine, whatever the version of its software.
func TestStreamGoesOnAtAnotherSoftwareVersion(t *testing.T) {
	b := newFixture(t)
	bad, _ := b.addEngine("engine-1")
	bad.SetMode(masticfake.ModeHalf)
	other, _ := b.addEngine("engine-2")
	same, _ := b.addEngine("engine-3")
	b.withSoftware(map[string]string{"engine-1": "v1", "engine-2": "v2", "engine-3": "v1"})
	b.start()
	_, s := b.stream("quick line check")
	b.c.Assert(s.err, qt.IsNil)
	b.c.Assert(s.text, qt.Equals, expectedText("quick line check", 32))
	b.c.Assert(other.Received(), qt.HasLen, 0)
	b.c.Assert(same.Received(), qt.HasLen, 1)
}

// TestStreamEndsWithoutItsSoftwareVersion checks that a stream whose version has no other engine ends with an
// error, and that a request without an event goes anywhere.
func TestStreamEndsWithoutItsSoftwareVersion(t *testing.T) {
	b := newFixture(t)
	bad, _ := b.addEngine("engine-1")
	bad.SetMode(masticfake.ModeHalf)
	other, _ := b.addEngine("engine-2")
	b.withSoftware(map[string]string{"engine-1": "v1", "engine-2": "v2"})
	b.start()
	_, s := b.stream("quick line check")
	b.c.Assert(s.err, qt.IsNotNil)
	b.c.Assert(s.ended, qt.IsFalse)
	b.c.Assert(other.Received(), qt.HasLen, 0)
	bad.SetMode(masticfake.ModeRefuse)
	_, s = b.stream("another check")
	b.c.Assert(s.err, qt.IsNil)
	b.c.Assert(s.ended, qt.IsTrue)
	b.c.Assert(other.Received(), qt.HasLen, 1)
}
