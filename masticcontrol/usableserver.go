package masticcontrol

import (
	"masticladder/masticerror"
	"masticladder/masticview"
)

// maxListedModels bounds the models of a listed server.
const maxListedModels = 64

// usableServers returns the listed servers that the view accepts. Other writers add entries to the list too, and one
// server that the view does not accept would have the whole change refused. Of several entries with one name, the
// one that the view has is kept, else the first.
func (d *leaderState) usableServers(view masticview.View, listing Listing) []masticview.Server {
	var usable []masticview.Server
	var reason error
	skipped := listing.Skipped
	position := make(map[string]int, len(listing.Servers))
	for _, s := range listing.Servers {
		if err := checkListed(view, s); err != nil {
			skipped, reason = skipped+1, err
			continue
		}
		i, twice := position[s.Name]
		if !twice {
			position[s.Name] = len(usable)
			usable = append(usable, s)
			continue
		}
		skipped, reason = skipped+1, masticerror.New(masticerror.KindBadRequest, "server %q is listed more than once", s.Name)
		if current, known := view.Server(s.Name); known && current.URL == s.URL {
			usable[i] = s
		}
	}
	d.loop.counters.ListSkipped.Store(int64(skipped))
	if skipped != d.skippedEntries {
		d.skippedEntries = skipped
		d.loop.log.WithField("skipped", skipped).WithField("usable", len(usable)).WithField("cause", reason).Warn("entries of the list of backend servers skipped")
	}
	return usable
}

// checkListed returns an error if the view does not accept a listed server, or if its names are too long to be passed on
// to all hosts.
func checkListed(view masticview.View, s masticview.Server) error {
	for _, name := range append([]string{s.Zone, s.Service, s.Incarnation, s.Software}, s.Models...) {
		if len(name) > masticview.MaxNameBytes {
			return masticerror.New(masticerror.KindBadRequest, "a name of server %.64q is over %d bytes", s.Name, masticview.MaxNameBytes)
		}
	}
	if len(s.Models) > maxListedModels {
		return masticerror.New(masticerror.KindBadRequest, "server %.64q has over %d models", s.Name, maxListedModels)
	}
	return view.CheckServer(s)
}
