package masticschedule

import (
	"time"

	"masticladder/masticview"
)

// oldWeightsSpan is for how long after a version of the weights was named requests may be
// sent to an older one. The users allow 6 s from the acknowledgement to the beginning;
// requests waited up to 2.2 s at overloaded backend servers before they began.
const oldWeightsSpan = 3500 * time.Millisecond

// newest has the versions named of each model, the newest last.
type newest struct {
	versions map[string][]namedVersion
	// begun reports that a view was taken before.
	begun bool
}

// namedVersion is a version with the time from when on no request may begin on an older one.
// It is by this host's clock: hosts' times of day differ.
type namedVersion struct {
	version  int64
	deadline time.Time
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
		if len(held) == 0 || w.Version > held[len(held)-1].version {
			n.versions[w.Model] = append(held, namedVersion{w.Version, deadline})
		}
	}
}

// ask makes w ask for the newest weights.
func (n *newest) ask(now time.Time, w *waiting) {
	versions, ok := n.versions[w.request.Weights]
	if !ok {
		return
	}
	passed := 0
	for i, v := range versions {
		if !now.Before(v.deadline) {
			w.query.Least = v.version
			passed = i
		}
	}
	n.versions[w.request.Weights] = versions[passed:]
	w.query.Newest = versions[len(versions)-1].version
}
