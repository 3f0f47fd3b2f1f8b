package masticprobe

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

func TestScheduleProbesServersInTurnAtItsRate(t *testing.T) {
	c := qt.New(t)
	sc := schedule{interval: 100 * time.Millisecond}
	sc.setServers([]masticview.Server{
		{Name: "a", Kind: masticview.ServerEngine},
		{Name: "b", Kind: masticview.ServerEngine},
		{Name: "gone", Kind: masticview.ServerEngine, State: masticview.ServerRetired},
		{Name: "plain", Kind: masticview.ServerService},
	})
	now := time.Unix(0, 0)
	counts := map[string]int{}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if s, ok := sc.next(now); ok {
			counts[s.Name]++
		}
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"a": 50, "b": 50})
}
