package masticstate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// TestViewTellsWhichStreamsAreUnknown checks that changes of the document and of the servers decide whether a stream without a record is
// known to have been begun by the base version.
func TestViewTellsWhichStreamsAreUnknown(t *testing.T) {
	c := qt.New(t)
	s, index := New(), uint64(0)
	apply := func(k *masticproto.Command) Result {
		index++
		k.AtUnixMs = startMs
		return s.Apply(index, k)
	}
	change := func(v *masticproto.ViewChange) {
		r := apply(&masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{RequestId: time.Duration(index).String(), Change: v}}})
		c.Assert(r.(PublishResult).Err, qt.IsNil)
	}
	server := func(name, software string) *masticproto.Server {
		return masticview.Server{
			Name: name, Kind: masticview.ServerEngine, URL: "http://10.0.0.1:1", Service: "pool", State: masticview.ServerActive, Software: software,
		}.ToProto()
	}
	key := masticcall.StreamKeyOf("mill", "pool", "1")
	ask := func(passed time.Duration) masticcall.StreamOrigin {
		r := apply(&masticproto.Command{Kind: &masticproto.Command_Origins{Origins: &masticproto.StreamOrigins{
			Host: "h", ElapsedUs: passed.Microseconds(), Asked: []*masticproto.AskedStream{{Key: key[:], Service: "pool"}},
		}}})
		return r.(OriginsResult).Origins[0]
	}
	put := apply(&masticproto.Command{Kind: &masticproto.Command_Document{Document: &masticproto.PutDocument{Document: &masticproto.Document{
		Number: 1, ContentDigest: make([]byte, len(masticview.Digest{})),
		Routes: []*masticproto.Route{{Name: "r", Host: "h", Prefix: "/", Resumable: true, TimeoutMs: 8000}},
	}}}})
	c.Assert(put.(DocumentResult).Err, qt.IsNil)
	c.Assert(s.TakeUpTime(), qt.Equals, 8*time.Second)
	change(&masticproto.ViewChange{Servers: []*masticproto.Server{server("a", "v1"), server("b", "v2")}})
	c.Assert(ask(0), qt.Equals, masticcall.StreamOrigin{Software: "v1"})
	change(&masticproto.ViewChange{RemovedServers: []string{"a"}})
	c.Assert(ask(time.Minute), qt.Equals, masticcall.StreamOrigin{Software: "v1", Unknown: true})
	change(&masticproto.ViewChange{BaseSoftware: []*masticproto.BaseSoftware{{Service: "pool", Version: "v2"}}})
	c.Assert(ask(0), qt.Equals, masticcall.StreamOrigin{Software: "v2", Unknown: true})
	next := New()
	c.Assert(next.Restore(s.Snapshot()), qt.IsNil)
	s = next
	c.Assert(ask(8*time.Second), qt.Equals, masticcall.StreamOrigin{Software: "v2", Unknown: true})
	c.Assert(ask(time.Second), qt.Equals, masticcall.StreamOrigin{Software: "v2"})
	change(&masticproto.ViewChange{Servers: []*masticproto.Server{server("a", "v1")}})
	change(&masticproto.ViewChange{Servers: []*masticproto.Server{server("b", "v1")}})
	c.Assert(ask(time.Minute).Unknown, qt.IsTrue, qt.Commentf("a server that returns as another version"))
}
