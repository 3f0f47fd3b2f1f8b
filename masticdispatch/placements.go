package masticdispatch

import (
	"github.com/rcrowley/go-metrics"

	"masticladder/masticschedule"
)

// Placements counts what this host's placements of requests expect of prefix caches. A coordinator counts
// those for other hosts too.
type Placements struct {
	engineFetches, storeFetches, held, promptTokens, cachedTokens metrics.Counter
}

func newPlacements() *Placements {
	return &Placements{
		engineFetches: metrics.NewCounter(), storeFetches: metrics.NewCounter(), held: metrics.NewCounter(),
		promptTokens: metrics.NewCounter(), cachedTokens: metrics.NewCounter(),
	}
}

// add counts an assignment.
func (p *Placements) add(o *masticschedule.Outcome) {
	d := &o.Decision
	if o.Err != nil || d.Tokens == 0 {
		return
	}
	p.promptTokens.Inc(d.Tokens)
	p.cachedTokens.Inc(int64(d.Cached))
	switch {
	case d.FetchTokens == 0:
	case d.FetchFromStore:
		p.storeFetches.Inc(1)
	default:
		p.engineFetches.Inc(1)
	}
	if o.Held > 0 {
		p.held.Inc(1)
	}
}

// Register adds the counters to r.
func (p *Placements) Register(r metrics.Registry) error {
	for name, c := range map[string]metrics.Counter{
		"placements.engineFetches": p.engineFetches, "placements.storeFetches": p.storeFetches, "placements.held": p.held,
		"placements.promptTokens": p.promptTokens, "placements.cachedTokens": p.cachedTokens,
	} {
		if err := r.Register(name, c); err != nil {
			return err
		}
	}
	return nil
}
