package masticschedule

import (
	"time"

	"masticladder/masticroute"
	"masticladder/masticview"
)

// oldWeightsSpan is for how long after a version of the weights was named requests may begin
// on an older one. The users allow 6 s from the acknowledgement; predictions of when a
// request begins were up to 0.7 s too early.
const oldWeightsSpan = 5200 * time.Millisecond

// newest has the versions named of each model, the newest last, with deadlines by this
// host's clock: hosts' times of day differ.
type newest struct {
	versions map[string][]masticroute.NamedVersion
	// begun reports that a view was taken before.
	begun bool
}

// take notes the versions of v. What the first view names may have been named long before.
func (n *newest) take(now time.Time, v masticview.View) {
	deadline := now
	if n.begun {
		deadline = now.Add(oldWeightsSpan)
	}
	n.begun = true
	for _, w := range v.AllWeights() {
		held := n.versions[w.Model]
		if len(held) == 0 || w.Version > held[len(held)-1].Version {
			n.versions[w.Model] = append(held, masticroute.NamedVersion{Version: w.Version, Deadline: deadline})
		}
	}
}

// ask makes w ask for the newest weights. Versions before the last whose deadline has passed
// say nothing any more.
func (n *newest) ask(now time.Time, w *waiting) {
	versions := n.versions[w.request.Weights]
	passed := 0
	for i, v := range versions {
		if !now.Before(v.Deadline) {
			passed = i
		}
	}
	if passed > 0 {
		versions = versions[passed:]
		n.versions[w.request.Weights] = versions
	}
	w.query.Versions = versions
}
