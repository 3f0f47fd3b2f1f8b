package masticprobe

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

func TestTurnKeepsTheRateAndTakesAllInTurn(t *testing.T) {
	c := qt.New(t)
	u := turn{spacing: 100 * time.Millisecond}
	u.setServers([]masticview.Server{
		{Name: "a", Kind: masticview.ServerEngine},
		{Name: "b", Kind: masticview.ServerEngine},
		{Name: "gone", Kind: masticview.ServerEngine, State: masticview.ServerRetired},
		{Name: "plain", Kind: masticview.ServerService},
	})
	now := time.Unix(0, 0)
	counts := map[string]int{}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if s, ok := u.take(now); ok {
			counts[s.Name]++
		}
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"a": 50, "b": 50})
}
