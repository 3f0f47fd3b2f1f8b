package masticcontrol

import (
	"time"

	"masticladder/masticview"
)

const (
	// lateWeightsAfter is the time from the naming of weights after which backend servers without them are reported. Requests do not
	// start on older weights for much longer.
	lateWeightsAfter = 5 * time.Second
	// lateWeightsInterval is the minimum time between two reports.
	lateWeightsInterval = 5 * time.Second
)

// oldWeights reports named weights that backend servers do not have, since the model may not be served for that reason.
type oldWeights struct {
	nextReport time.Time
	// seen holds, by model, the newest named weights and since when this leader knows them.
	seen map[string]seenWeights
}

type seenWeights struct {
	version int64
	since   time.Time
	// unusedReported reports that no backend server had the model, and that this was logged.
	unusedReported bool
}

// weightsCount counts the engines of a model.
type weightsCount struct{ engines, outdated int }

// report logs named weights that are late, and those of models that no backend server has, and counts the models of engines that have
// older weights.
func (o *oldWeights) report(now time.Time, p *placement, servers []masticview.Server) {
	view := p.leader.loop.state.View()
	counts := map[string]weightsCount{}
	outdated := 0
	for _, s := range servers {
		if s.Kind != masticview.ServerEngine || s.Service == "" || s.State == masticview.ServerLeaving || s.State == masticview.ServerRetired {
			continue
		}
		for _, m := range s.Models {
			n := counts[m]
			n.engines++
			if newest, ok := view.Weights(m); ok && versionNumber(s.VersionOf(m)) < newest.Version {
				n.outdated++
				outdated++
			}
			counts[m] = n
		}
	}
	p.leader.loop.counters.OutdatedEngines.Store(int64(outdated))
	for _, w := range view.AllWeights() {
		o.reportModel(now, p, w, counts[w.Model])
	}
	if !now.Before(o.nextReport) {
		o.nextReport = now.Add(lateWeightsInterval)
	}
}

func (o *oldWeights) reportModel(now time.Time, p *placement, w masticview.Weights, n weightsCount) {
	seen := o.seen[w.Model]
	if seen.version != w.Version {
		seen = seenWeights{version: w.Version, since: now}
	}
	age := now.Sub(seen.since)
	log := p.leader.loop.log.WithField("model", w.Model).WithField("version", w.Version).WithField("ageMillis", age.Milliseconds())
	switch {
	case n.engines == 0 && !seen.unusedReported:
		seen.unusedReported = true
		log.Warn("weights named for a model that no backend server has; they are ordered once one has it")
	case n.outdated > 0 && age > lateWeightsAfter && !now.Before(o.nextReport):
		log.WithField("engines", n.engines).WithField("outdated", n.outdated).
			Warn("engines still have older weights; the model is not served by them")
	}
	o.seen[w.Model] = seen
}
