// Package masticaddress answers which entry hosts a caller of a workspace should use.
package masticaddress

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticcall"
	"masticladder/masticview"
)

const (
	// defaultHosts is the number of hosts in an answer.
	defaultHosts = 4
	// defaultSpan is how long an answer holds.
	defaultSpan = 5 * time.Second
)

// Addresses implements masticcall.Addresses from the view of this host.
type Addresses struct {
	view  func() masticview.View
	hosts int
	span  time.Duration
}

// Option changes how New builds Addresses.
type Option func(*Addresses)

// WithHosts sets the number of hosts in an answer.
func WithHosts(n int) Option { return func(a *Addresses) { a.hosts = n } }

// WithSpan sets how long an answer holds.
func WithSpan(d time.Duration) Option { return func(a *Addresses) { a.span = d } }

// New returns Addresses that read the view by view.
func New(view func() masticview.View, options ...Option) *Addresses {
	a := &Addresses{view: view, hosts: defaultHosts, span: defaultSpan}
	for _, o := range options {
		o(a)
	}
	return a
}

// Span returns how long an answer holds; a leaving host keeps serving that long.
func (a *Addresses) Span() time.Duration { return a.span }

// ranked is a live host with its rank for a workspace.
type ranked struct {
	host  masticview.Host
	score float64
}

// For returns the hosts for workspace and until when the answer holds. Hosts are
// ranked by weighted rendezvous hashing; a zone's second host comes after the first
// hosts of all zones.
func (a *Addresses) For(workspace string, now time.Time) ([]masticcall.Address, time.Time) {
	var all []ranked
	for _, h := range a.view().Hosts() {
		if h.Address == "" || (h.State != masticview.HostLive && h.State != "") {
			continue
		}
		all = append(all, ranked{h, score(workspace, h)})
	}
	slices.SortFunc(all, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.host.Name, y.host.Name))
	})
	return addresses(a.pick(all)), now.Add(a.span)
}

// pick takes the best host of each zone, then the best of the rest.
func (a *Addresses) pick(all []ranked) []ranked {
	var out []ranked
	for round := 0; len(out) < min(a.hosts, len(all)); round++ {
		taken := map[string]int{}
		for _, r := range all {
			n := taken[r.host.Zone]
			taken[r.host.Zone]++
			if n == round && len(out) < a.hosts {
				out = append(out, r)
			}
		}
	}
	return out
}

func addresses(picked []ranked) []masticcall.Address {
	out := make([]masticcall.Address, 0, len(picked))
	for _, r := range picked {
		out = append(out, masticcall.Address{Address: r.host.Address, Zone: r.host.Zone, Weight: weight(r.host)})
	}
	return out
}

func weight(h masticview.Host) int64 { return max(1, h.Weight) }

// score is the weighted rendezvous score: -weight / ln(u) with u uniform in (0, 1).
func score(workspace string, h masticview.Host) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(h.Name)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(weight(h)) / math.Log(u)
}
