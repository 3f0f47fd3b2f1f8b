package masticengine

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// TestEndedAfterReturn checks that the end of an incarnation is reported also when the
// server's next one was already seen, and still only once.
func TestEndedAfterReturn(t *testing.T) {
	c := qt.New(t)
	client := New()
	call := Call{Server: masticview.Server{Name: "engine-1", Kind: masticview.ServerEngine}, Digest: masticview.Digest{1}}
	old, second := client.enter(call), client.enter(call)
	client.saw(old, "one")
	client.saw(second, "one")
	client.saw(client.enter(call), "two")
	digests, first := client.endIncarnation(old)
	c.Assert(first, qt.IsTrue)
	c.Assert(digests, qt.DeepEquals, []masticview.Digest{{1}})
	_, first = client.endIncarnation(second)
	c.Assert(first, qt.IsFalse)
	c.Assert(client.knows("engine-1"), qt.IsTrue)
	client.saw(second, "one")
	c.Assert(client.enter(call).incarnation, qt.Equals, "two")
}
