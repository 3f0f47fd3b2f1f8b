package masticcontrol

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
	"masticladder/masticstate"
)

// viewLoop returns a loop whose state has a view with hosts and engines.
func viewLoop(hosts, engines int) *loop {
	l := &loop{settings: settings{log: logrus.New()}, state: masticstate.New()}
	change := &masticproto.ViewChange{}
	for i := range hosts {
		change.Hosts = append(change.Hosts, &masticproto.Host{
			Name: fmt.Sprint("host", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "z", Weight: 20, State: "live",
		})
	}
	for i := range engines {
		change.Servers = append(change.Servers, &masticproto.Server{
			Name: fmt.Sprint("engine", i), Kind: "engine", Url: fmt.Sprintf("http://10.0.1.%d:80", i+1), Models: []string{"m"}, State: "active",
		})
	}
	publishTo(l, "first", change)
	return l
}

func publishTo(l *loop, id string, change *masticproto.ViewChange) {
	l.state.Apply(l.state.View().Revision()+1, &masticproto.Command{AtUnixMs: 1, Kind: &masticproto.Command_Publish{
		Publish: &masticproto.Publish{RequestId: id, Change: change},
	}})
}

// TestFullViewIsBuiltOncePerRevision checks that all hosts without a view are sent the same
// message, and a new one once the view has changed.
func TestFullViewIsBuiltOncePerRevision(t *testing.T) {
	c := qt.New(t)
	l := viewLoop(85, 99)
	first := l.fullViewUpdate()
	c.Assert(first.GetWhole().GetItems().GetHosts(), qt.HasLen, 85)
	c.Assert(l.fullViewUpdate() == first, qt.IsTrue)
	publishTo(l, "second", &masticproto.ViewChange{RemovedServers: []string{"engine0"}})
	second := l.fullViewUpdate()
	c.Assert(second.GetWhole().GetItems().GetServers(), qt.HasLen, 98)
	c.Assert(first.GetWhole().GetItems().GetServers(), qt.HasLen, 99)
}

// BenchmarkFullView measures the leader's cost of building the full view, without sending it.
func BenchmarkFullView(b *testing.B) {
	l := viewLoop(85, 99)
	for b.Loop() {
		l.fullViewRevision = 0
		l.fullViewUpdate()
	}
}

// BenchmarkApplyLog applies the entries of a log that was not compacted, as a control host does
// in one batch after a power loss: changes of one engine each on a site of 85 hosts.
func BenchmarkApplyLog(b *testing.B) {
	const entries = 1000
	var commands [][]byte
	for i := range entries {
		state := []string{"loading", "active"}[i%2]
		data, err := proto.Marshal(&masticproto.Command{AtUnixMs: 1, Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
			RequestId: fmt.Sprint("change", i),
			Change: &masticproto.ViewChange{Servers: []*masticproto.Server{{
				Name: fmt.Sprint("engine", i%99), Kind: "engine", Url: fmt.Sprintf("http://10.0.1.%d:80", i%99+1),
				Models: []string{"m"}, State: state,
			}}},
		}}})
		if err != nil {
			b.Fatal(err)
		}
		commands = append(commands, data)
	}
	for b.Loop() {
		l := viewLoop(85, 99)
		for i, data := range commands {
			c := &masticproto.Command{}
			if err := proto.Unmarshal(data, c); err != nil {
				b.Fatal(err)
			}
			l.state.Apply(uint64(i+2), c)
		}
	}
}
