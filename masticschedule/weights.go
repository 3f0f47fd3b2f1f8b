package masticschedule

import (
	"time"

	"masticladder/masticroute"
	"masticladder/masticview"
)

// DefaultOldWeightsTimeout is how long after the announcement of a new version backend servers may start
// requests on older weights, unless WithOldWeightsTimeout says otherwise.
const DefaultOldWeightsTimeout = 6 * time.Second

// oldWeightsMargin is the part of the timeout in which no request is sent to older weights: requests
// started up to 0.7 s later than predicted, and 0.1 s is reserve.
const oldWeightsMargin = 800 * time.Millisecond

// firstViewWindow is how long requests may still start on older weights than those in a host's first view.
// They may have been announced long before, or just before all hosts restarted, so that no engine has them.
const firstViewWindow = 2 * time.Second

// announcedVersions holds the announced weights versions of each model in ascending order.
// Deadlines are by this host's clock, since the clocks of hosts differ.
type announcedVersions struct {
	byModel map[string][]masticroute.AnnouncedVersion
	// window is how long requests may be sent to older weights after an announcement.
	window time.Duration
	// hasView reports whether update was called before.
	hasView bool
}

func newAnnouncedVersions(timeout time.Duration) announcedVersions {
	return announcedVersions{byModel: map[string][]masticroute.AnnouncedVersion{}, window: timeout - oldWeightsMargin}
}

// update adds the new versions in v.
func (a *announcedVersions) update(now time.Time, v masticview.View) {
	deadline := now.Add(min(firstViewWindow, a.window))
	if a.hasView {
		deadline = now.Add(a.window)
	}
	a.hasView = true
	for _, w := range v.AllWeights() {
		known := a.byModel[w.Model]
		if len(known) == 0 || w.Version > known[len(known)-1].Version {
			a.byModel[w.Model] = append(known, masticroute.AnnouncedVersion{Version: w.Version, Deadline: deadline})
		}
	}
}

// setQueryVersions sets the versions that restrict which backend servers w may use. Versions
// before the last one whose deadline has passed are removed, as they have no effect any more.
func (a *announcedVersions) setQueryVersions(now time.Time, w *waiting) {
	versions := a.byModel[w.request.Weights]
	lastPassed := 0
	for i, v := range versions {
		if !now.Before(v.Deadline) {
			lastPassed = i
		}
	}
	if lastPassed > 0 {
		versions = versions[lastPassed:]
		a.byModel[w.request.Weights] = versions
	}
	w.query.Versions = versions
}
