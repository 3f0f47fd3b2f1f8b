package masticcontrol

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticproto"
	"masticladder/masticstate"
	"masticladder/masticview"
)

// BenchmarkPlanPoolLoads plans the loads of one change of weights over a large pool. The leader
// does this at most once per pushInterval while weights change.
func BenchmarkPlanPoolLoads(b *testing.B) {
	for _, n := range []int{18, 90, 900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			l := &loop{settings: settings{log: log}, state: masticstate.New()}
			change := &masticproto.ViewChange{Weights: []*masticproto.Weights{{Model: "m", Version: 2}}}
			for i := range n {
				s := masticview.Server{
					Name: fmt.Sprint("s", i), Kind: masticview.ServerEngine, URL: "http://10.0.0.1:80", Service: "pool",
					Models: []string{"m"}, WeightsVersion: "1", State: masticview.ServerActive, ChecksFencing: true,
				}
				change.Servers = append(change.Servers, s.ToProto())
			}
			l.state.Apply(1, &masticproto.Command{AtUnixMs: 1, Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{RequestId: "x", Change: change}}})
			for b.Loop() {
				p := newPlacement(time.UnixMilli(1), &leaderState{loop: l, term: 1})
				p.countPools(l.state.View().Servers())
				for _, s := range l.state.View().Servers() {
					if w, needed := p.requestedLoad(s); needed {
						p.planner.Request(w)
					}
				}
				p.planner.Decide(time.UnixMilli(1))
			}
		})
	}
}
