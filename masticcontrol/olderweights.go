package masticcontrol

import (
	"slices"
	"time"

	"masticladder/masticview"
)

// maxListLag is the time for which the list may show older weights of a server than an order has loaded. After that, the
// server has them: an earlier order was carried out late.
const maxListLag = 4 * time.Second

// olderWeights are the servers, by name, that the list shows with older weights than the view.
type olderWeights map[string]olderListing

// olderListing is since when the list has shown older weights than those of held.
type olderListing struct {
	held  masticview.Server
	since time.Time
}

// reconcile returns the entry of a server for the view: held, which has the newer weights of the view, or listed if the list
// has shown older ones for maxListLag. ordered reports that an order to the server may be running.
func (o olderWeights) reconcile(now time.Time, held, listed masticview.Server, ordered bool) masticview.Server {
	if sameWeights(held, listed) {
		delete(o, listed.Name)
		return listed
	}
	x, known := o[listed.Name]
	if !known || ordered || !sameWeights(x.held, held) {
		o[listed.Name] = olderListing{held: held, since: now}
		return held
	}
	if now.Sub(x.since) < maxListLag {
		return held
	}
	return listed
}

// retain forgets the servers that are not listed.
func (o olderWeights) retain(listed map[string]bool) {
	for name := range o {
		if !listed[name] {
			delete(o, name)
		}
	}
}

// sameWeights reports whether two entries of a server have the same weights of all models.
func sameWeights(a, b masticview.Server) bool {
	return a.WeightsVersion == b.WeightsVersion && slices.Equal(a.ModelVersions, b.ModelVersions)
}
