package masticrelay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// fakeOrigins answers questions with found, and keeps what it is told.
type fakeOrigins struct {
	unavailable bool
	found       masticcall.StreamOrigin
	asked       []masticcall.StreamKeys
	recorded    []string
	deadlines   []time.Time
	forgotten   []bool
}

func (o *fakeOrigins) Available() bool { return !o.unavailable }

func (o *fakeOrigins) Record(_ masticcall.StreamKeys, software string, deadline time.Time) masticcall.Recording {
	o.recorded, o.deadlines = append(o.recorded, software), append(o.deadlines, deadline)
	return nil
}

func (o *fakeOrigins) End(_ masticcall.StreamKeys, forget bool) {
	o.forgotten = append(o.forgotten, forget)
}

func (o *fakeOrigins) Find(_ context.Context, keys masticcall.StreamKeys, _ string) (masticcall.StreamOrigin, error) {
	o.asked = append(o.asked, keys)
	return o.found, nil
}

// takeUpOf returns a request that takes up a stream of a service with the given numbers of servers.
func takeUpOf(c *qt.C, o *fakeOrigins, resumes string, servers map[string]int) (*requestState, *routingTable) {
	b := newFixture(c, safe, newRawServer(c))
	t := &routingTable{software: map[string]serviceSoftware{"p": {base: "v1", servers: servers}}}
	b.relay.origins = o
	b.relay.table.Store(t)
	r := callerOf("mill", "k1", "/a/x")
	r.relay, r.route, r.deadline = b.relay, masticdocument.Route{Resumable: true}, time.Now().Add(time.Minute)
	r.call.Resumes, r.call.LastEventID, r.origin = resumes, "3", streamOrigin{}
	return r, t
}

// TestTakeUpIsBoundToAssumedVersion: a stream of which the control group had no record went on at the base version, and one that its caller
// did not name at the only version, though another one may have begun it.
func TestTakeUpIsBoundToAssumedVersion(t *testing.T) {
	one, two := map[string]int{"v1": 1}, map[string]int{"v1": 1, "v2": 1}
	for _, x := range []struct {
		name, resumes string
		servers       map[string]int
		found         masticcall.StreamOrigin
		kind          masticerror.Kind
	}{
		{name: "recorded", resumes: "id", servers: two, found: masticcall.StreamOrigin{Software: "v2", Recorded: true}},
		{name: "base", resumes: "id", servers: two, found: masticcall.StreamOrigin{Software: "v1"}},
		{name: "unknown", resumes: "id", servers: two, found: masticcall.StreamOrigin{Software: "v1", Unknown: true}, kind: masticerror.KindNoServer},
		{name: "no server", resumes: "id", servers: one, found: masticcall.StreamOrigin{Software: "v2", Recorded: true}, kind: masticerror.KindNoServer},
		{name: "not named", servers: one, found: masticcall.StreamOrigin{Software: "v1"}},
		{name: "not named and unknown", servers: one, found: masticcall.StreamOrigin{Software: "v1", Unknown: true}, kind: masticerror.KindNoServer},
		{name: "not named among several", servers: two, kind: masticerror.KindBadRequest},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			o := &fakeOrigins{found: x.found}
			r, table := takeUpOf(c, o, x.resumes, x.servers)
			err := r.findOrigin(t.Context(), table)
			if x.kind != "" {
				c.Assert(err, qt.IsNotNil)
				c.Assert(err.Kind(), qt.Equals, x.kind)
				c.Assert(o.recorded, qt.HasLen, 0)
				return
			}
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(r.origin.bound, qt.Equals, masticcall.OnlySoftware(x.found.Software))
			c.Assert(len(o.asked[0]) > 0, qt.Equals, x.resumes != "")
			if x.found.Recorded {
				c.Assert(o.deadlines, qt.DeepEquals, []time.Time{r.deadline})
			}
		})
	}
}

// TestRecordOfSentStreamIsDropped: the record of a stream was dropped when all of it had been written, not read.
func TestRecordOfSentStreamIsDropped(t *testing.T) {
	c := qt.New(t)
	o := &fakeOrigins{}
	r, _ := takeUpOf(c, o, "", map[string]int{"v1": 1, "v2": 1})
	r.call.LastEventID = ""
	r.recordOrigin(masticview.Server{Service: "p", Software: "v2"})
	c.Assert(o.recorded, qt.DeepEquals, []string{"v2"})
	c.Assert(o.deadlines, qt.DeepEquals, []time.Time{r.deadline})
	r.endOrigin()
	r.headerWritten = true
	r.endOrigin()
	r.headerWritten, r.call.Resumes = false, "id"
	r.endOrigin()
	c.Assert(o.forgotten, qt.DeepEquals, []bool{true, false, false})
}

// TestStreamsOfNewBaseVersionAreUnknown: after a change of the base version, the control group can tell for the time of a take-up only of
// recorded streams which version began them.
func TestStreamsOfNewBaseVersionAreUnknown(t *testing.T) {
	c := qt.New(t)
	v1 := masticview.Server{Name: "a", Kind: masticview.ServerEngine, State: masticview.ServerActive, Service: "p", Software: "v1"}
	v2 := v1
	v2.Name, v2.Software = "b", "v2"
	viewOf := func(base string, servers ...masticview.Server) masticview.View {
		v := masticview.View{}.WithBaseSoftware("p", base)
		for _, s := range servers {
			v = v.WithServer(s)
		}
		return v
	}
	end := time.Now().Add(8 * time.Second)
	table := func(before map[string]serviceSoftware, v masticview.View) map[string]serviceSoftware {
		return serviceSoftwareOf(v, before, end)
	}
	first := table(nil, viewOf("v1", v1, v2))
	c.Assert(first["p"].recordedUntil.IsZero(), qt.IsTrue)
	without := table(first, viewOf("v1", v2))
	c.Assert(without["p"].recordedUntil.IsZero(), qt.IsTrue)
	c.Assert(table(without, viewOf("v2", v2))["p"].recordedUntil, qt.Equals, end)
	back := table(without, viewOf("v1", v1, v2))
	c.Assert(back["p"].recordedUntil, qt.Equals, end)
	c.Assert(table(back, viewOf("v1", v1))["p"].recordedUntil, qt.Equals, end)

	o := &fakeOrigins{}
	r, _ := takeUpOf(c, o, "", nil)
	r.call.LastEventID = ""
	r.relay.table.Store(&routingTable{software: back})
	server := masticview.Server{Service: "p", Software: "v1"}
	o.unavailable = true
	r.recordOrigin(server)
	c.Assert(o.recorded, qt.HasLen, 0)
	o.unavailable = false
	r.recordOrigin(server)
	c.Assert(o.recorded, qt.DeepEquals, []string{"v1"})
	c.Assert(r.origin.recording, qt.IsNil, qt.Commentf("the first event does not wait"))
	r.relay.table.Store(&routingTable{software: first})
	r.origin.recorded = false
	r.recordOrigin(server)
	c.Assert(o.recorded, qt.HasLen, 1)
}
