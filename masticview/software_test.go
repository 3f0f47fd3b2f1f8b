package masticview

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

func serverChange(servers ...Server) *masticproto.ViewChange {
	c := &masticproto.ViewChange{}
	for _, s := range servers {
		c.Servers = append(c.Servers, s.ToProto())
	}
	return c
}

func serverWith(name, software string) Server {
	return Server{Name: name, Kind: ServerEngine, URL: "http://127.0.0.1:1", State: ServerActive, Service: "engines", Software: software}
}

// TestBaseSoftwareStays checks that the base version of a service is that of its first servers, and is replaced
// only while none of it is left.
func TestBaseSoftwareStays(t *testing.T) {
	c := qt.New(t)
	v, err := View{}.Apply(serverChange(serverWith("a", "v1"), serverWith("b", "v2"), serverWith("d", "v1")), time.Time{})
	c.Assert(err, qt.IsNil)
	base, ok := v.BaseSoftware("engines")
	c.Assert(ok, qt.IsTrue)
	c.Assert(base, qt.Equals, "v1")
	v, err = v.Apply(serverChange(serverWith("a", "v2"), serverWith("e", "v2")), time.Time{})
	c.Assert(err, qt.IsNil)
	base, _ = v.BaseSoftware("engines")
	c.Assert(base, qt.Equals, "v1")
	c.Assert(v.SoftwareVersions()["engines"], qt.DeepEquals, map[string]int{"v1": 1, "v2": 3})

	next := &masticproto.ViewChange{BaseSoftware: []*masticproto.BaseSoftware{{Service: "engines", Version: "v2"}}}
	_, err = v.Apply(next, time.Time{})
	c.Assert(err, qt.ErrorMatches, `.*still has servers with software "v1"`)
	v, err = v.Apply(&masticproto.ViewChange{RemovedServers: []string{"d"}}, time.Time{})
	c.Assert(err, qt.IsNil)
	v, err = v.Apply(next, time.Time{})
	c.Assert(err, qt.IsNil)
	base, _ = v.BaseSoftware("engines")
	c.Assert(base, qt.Equals, "v2")

	restored, err := FromSnapshot(v.Snapshot())
	c.Assert(err, qt.IsNil)
	base, _ = restored.BaseSoftware("engines")
	c.Assert(base, qt.Equals, "v2")
	_, ok = restored.BaseSoftware("desk")
	c.Assert(ok, qt.IsFalse)
}
