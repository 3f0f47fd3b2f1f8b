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
	// listTimeout bounds one reading of the list of backend servers; a reader that hears
	// nothing for longer tries again.
	listTimeout = time.Second
	// listings bounds the readings that wait for the loop.
	listings = 4
)

// Lister reads the list of backend servers that the platform keeps. Entries that cannot be
// read are left out; an error means that nothing is known.
type Lister interface {
	List(ctx context.Context) ([]masticview.Server, error)
}

// listReader reads the list while this host leads. Only the leader reads, so that all hosts
// together stay within the platform's rate; the others are told through the log.
type listReader struct {
	loop     *loop
	lister   Lister
	interval time.Duration
	leading  atomic.Bool
	found    *masticring.Ring[[]masticview.Server]
	failing  bool
}

func newListReader(l *loop, lister Lister, interval time.Duration) *listReader {
	return &listReader{
		loop:     l,
		lister:   lister,
		interval: interval,
		found:    masticring.New[[]masticview.Server]("lists of backend servers", listings),
	}
}

func (r *listReader) run() {
	defer r.loop.senders.Done()
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.leading.Load() {
				r.read()
			}
		case <-r.loop.sending.Done():
			return
		}
	}
}

func (r *listReader) read() {
	ctx, cancel := context.WithTimeout(r.loop.sending, listTimeout)
	defer cancel()
	servers, err := r.lister.List(ctx)
	r.loop.counters.noteList(masticclock.Now(), err)
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.loop.log.WithField("lost", r.failing).WithField("cause", err).Warn("list of backend servers")
	}
	if err != nil {
		return
	}
	if err := r.found.Offer(servers); err != nil {
		r.loop.log.WithError(err).Warn("a list of backend servers was not taken; the next one brings it again")
	}
}

// listed proposes what differs between the list and the view.
func (d *leader) listed(servers []masticview.Server) {
	if d.loop.status.Applied < d.listingIndex {
		return
	}
	view := d.loop.state.View()
	change := &masticproto.ViewChange{}
	names := make(map[string]bool, len(servers))
	for _, s := range servers {
		names[s.Name] = true
		held, known := view.Server(s.Name)
		if next := d.reconcile(held, known, s); !known || !sameServer(held, next) {
			change.Servers = append(change.Servers, next.ToProto())
			d.loop.log.WithField("server", next.Name).WithField("service", next.Service).WithField("url", next.URL).
				WithField("state", next.State).WithField("weights", next.WeightsVersion).
				WithField("incarnation", next.Incarnation).WithField("known", known).Info("backend server listed")
		}
	}
	for _, s := range view.Servers() {
		if !names[s.Name] {
			change.RemovedServers = append(change.RemovedServers, s.Name)
			d.loop.log.WithField("server", s.Name).WithField("service", s.Service).Info("backend server no longer listed")
		}
	}
	if len(change.Servers)+len(change.RemovedServers) == 0 {
		return
	}
	index, _, err := d.loop.propose(d.loop.turnTime, &masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
		RequestId: uuid.Must(uuid.NewV7()).String(),
		Change:    change,
	}}})
	if err != nil {
		d.loop.log.WithError(err).Warn("the list of backend servers was not proposed; the next one brings it again")
		return
	}
	d.listingIndex = index
}

// reconcile returns the entry that the list's entry s leads to. The list lags, so what an
// order to this run of the server has achieved goes before it.
func (d *leader) reconcile(held masticview.Server, known bool, s masticview.Server) masticview.Server {
	if !known || held.Incarnation != s.Incarnation {
		return s
	}
	if newer(held.WeightsVersion, s.WeightsVersion) {
		s.WeightsVersion = held.WeightsVersion
	}
	if s.State == masticview.ServerActive && held.State == masticview.ServerLoading && d.placement.ordered(d.loop.turnTime, s.Name) {
		s.State = masticview.ServerLoading
	}
	return s
}

func sameServer(a, b masticview.Server) bool {
	models := slices.Equal(a.Models, b.Models)
	a.Models, b.Models = nil, nil
	return models && a.Name == b.Name && a.Kind == b.Kind && a.URL == b.URL && a.Zone == b.Zone && a.Service == b.Service &&
		a.WeightsVersion == b.WeightsVersion && a.Incarnation == b.Incarnation && a.State == b.State && a.Slots == b.Slots
}
