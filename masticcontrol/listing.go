package masticcontrol

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticring"
	"masticladder/masticview"
)

const (
	// listTimeout bounds one read of the list of backend servers. A reader that gets no answer
	// within it tries again at the next interval.
	listTimeout = time.Second
	// maxPendingLists bounds the lists that wait for the loop.
	maxPendingLists = 4
)

// Lister reads the platform's list of backend servers. An error means that servers may be missing in the listing.
type Lister interface {
	List(ctx context.Context) (Listing, error)
}

// Listing is what was read of the list of backend servers.
type Listing struct {
	Servers []masticview.Server
	// Skipped is the number of entries that could not be used.
	Skipped int
	// partial reports that servers may be missing.
	partial bool
}

// listReader reads the list while this host leads. Only the leader reads, so that all hosts
// together stay within the platform's rate limit; the others get the changes through the log.
type listReader struct {
	loop     *loop
	lister   Lister
	interval time.Duration
	leading  atomic.Bool
	lists    *masticring.Ring[Listing]
	failing  bool
}

func newListReader(l *loop, lister Lister, interval time.Duration) *listReader {
	return &listReader{
		loop:     l,
		lister:   lister,
		interval: interval,
		lists:    masticring.New[Listing]("lists of backend servers", maxPendingLists),
	}
}

func (r *listReader) run() {
	defer r.loop.backgroundTasks.Done()
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.leading.Load() {
				r.read()
			}
		case <-r.loop.background.Done():
			return
		}
	}
}

// read reads the list once and offers it to the loop. It logs lost=true when reading begins to
// fail, and lost=false when it succeeds again.
func (r *listReader) read() {
	ctx, cancel := context.WithTimeout(r.loop.background, listTimeout)
	defer cancel()
	listing, err := r.lister.List(ctx)
	r.loop.counters.recordList(masticclock.Now(), err)
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.loop.log.WithField("lost", r.failing).WithField("cause", err).Warn("list of backend servers")
	}
	listing.partial = err != nil
	if err := r.lists.Offer(listing); err != nil {
		r.loop.log.WithError(err).Warn("list of backend servers dropped; the next read delivers it again")
	}
}

// proposeListed proposes the differences between the list and the view.
func (d *leaderState) proposeListed(listing Listing) {
	if d.loop.status.Applied < d.listIndex {
		return
	}
	change := d.listChange(listing)
	if len(change.Servers)+len(change.RemovedServers) == 0 {
		return
	}
	index, _, err := d.loop.propose(d.loop.batchTime, &masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
		RequestId: uuid.Must(uuid.NewV7()).String(),
		Change:    change,
	}}})
	if err != nil {
		d.loop.log.WithError(err).Warn("list of backend servers not proposed; the next read delivers it again")
		return
	}
	d.listIndex = index
}

// listChange returns the differences between the list and the view. A partial listing removes no server.
func (d *leaderState) listChange(listing Listing) *masticproto.ViewChange {
	view := d.loop.state.View()
	servers := d.usableServers(view, listing)
	change := &masticproto.ViewChange{}
	names := make(map[string]bool, len(servers))
	for _, s := range servers {
		names[s.Name] = true
		current, known := view.Server(s.Name)
		if next := d.reconcile(current, known, s); !known || !sameServer(current, next) {
			change.Servers = append(change.Servers, next.ToProto())
			d.loop.log.WithField("server", next.Name).WithField("service", next.Service).WithField("url", next.URL).
				WithField("state", next.State).WithField("weights", next.WeightsVersion).WithField("modelVersions", next.ModelVersions).
				WithField("incarnation", next.Incarnation).WithField("software", next.Software).WithField("known", known).Info("backend server listed")
		}
	}
	d.olderWeights.retain(names)
	for _, s := range view.Servers() {
		if !names[s.Name] && !listing.partial {
			change.RemovedServers = append(change.RemovedServers, s.Name)
			d.loop.log.WithField("server", s.Name).WithField("service", s.Service).Info("backend server no longer listed")
		}
	}
	return change
}

// reconcile returns the view's next entry for the listed server s. The list lags behind, so the
// results of load orders to the same incarnation, for maxListLag, and what it stated itself, take precedence over it.
func (d *leaderState) reconcile(current masticview.Server, known bool, s masticview.Server) masticview.Server {
	if !known || current.Incarnation != s.Incarnation {
		return s
	}
	if current.StatedLeaving {
		s = s.WithStatedLeaving()
	}
	s = d.olderWeights.reconcile(d.loop.batchTime, withNewerWeights(s, current), s, d.placement.ordered(d.loop.batchTime, s.Name))
	if s.State == masticview.ServerActive && current.State == masticview.ServerLoading && d.placement.ordered(d.loop.batchTime, s.Name) {
		s = s.WithLoading(current.LoadingModel)
	}
	return s
}

// withNewerWeights returns s with those versions of current that are newer, for each model.
func withNewerWeights(s, current masticview.Server) masticview.Server {
	if len(s.Models) == 0 && newer(current.WeightsVersion, s.WeightsVersion) {
		return s.WithVersionOf("", current.WeightsVersion)
	}
	for _, m := range s.Models {
		if v := current.VersionOf(m); current.Serves(m) && newer(v, s.VersionOf(m)) {
			s = s.WithVersionOf(m, v)
		}
	}
	return s
}

func sameServer(a, b masticview.Server) bool {
	return slices.Equal(a.Models, b.Models) && slices.Equal(a.ModelVersions, b.ModelVersions) && a.LoadingModel == b.LoadingModel && a.Name == b.Name && a.Kind == b.Kind && a.URL == b.URL && a.Zone == b.Zone && a.Service == b.Service &&
		a.WeightsVersion == b.WeightsVersion && a.Incarnation == b.Incarnation && a.State == b.State && a.Slots == b.Slots && a.StatedLeaving == b.StatedLeaving && a.Software == b.Software
}
