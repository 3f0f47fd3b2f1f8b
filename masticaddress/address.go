// Package masticaddress selects the hosts that a caller of a workspace should send requests to.
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
	// defaultHostCount is the number of hosts in an address list.
	defaultHostCount = 4
	// defaultTTL is how long an address list is valid.
	defaultTTL = 5 * time.Second
)

// Addresses implements masticcall.Addresses with the view of this host.
type Addresses struct {
	view      func() masticview.View
	hostCount int
	ttl       time.Duration
}

// Option sets one property of Addresses.
type Option func(*Addresses)

// WithHosts sets the number of hosts in an address list.
func WithHosts(n int) Option { return func(a *Addresses) { a.hostCount = n } }

// WithTTL sets how long an address list is valid.
func WithTTL(d time.Duration) Option { return func(a *Addresses) { a.ttl = d } }

// New returns Addresses that call view for the current configuration.
func New(view func() masticview.View, options ...Option) *Addresses {
	a := &Addresses{view: view, hostCount: defaultHostCount, ttl: defaultTTL}
	for _, o := range options {
		o(a)
	}
	return a
}

// TTL returns how long an address list is valid. A leaving host keeps serving for that long.
func (a *Addresses) TTL() time.Duration { return a.ttl }

// rankedHost is a live host with its rendezvous score for a workspace.
type rankedHost struct {
	host  masticview.Host
	score float64
}

// For returns the addresses for workspace and the time until which they are valid. Hosts are ranked
// by weighted rendezvous hashing, and the second host of a zone comes after the first hosts of all
// zones.
func (a *Addresses) For(workspace string, now time.Time) ([]masticcall.Address, time.Time) {
	var ranked []rankedHost
	for _, h := range a.view().Hosts() {
		if h.Address == "" || (h.State != masticview.HostLive && h.State != "") {
			continue
		}
		ranked = append(ranked, rankedHost{h, score(workspace, h)})
	}
	slices.SortFunc(ranked, func(x, y rankedHost) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.host.Name, y.host.Name))
	})
	return addresses(a.pick(ranked)), now.Add(a.ttl)
}

// pick returns up to hostCount hosts: first the best host of each zone, then the second best of each
// zone, and so on.
func (a *Addresses) pick(ranked []rankedHost) []rankedHost {
	var out []rankedHost
	for round := 0; len(out) < min(a.hostCount, len(ranked)); round++ {
		seenInZone := map[string]int{}
		for _, r := range ranked {
			n := seenInZone[r.host.Zone]
			seenInZone[r.host.Zone]++
			if n == round && len(out) < a.hostCount {
				out = append(out, r)
			}
		}
	}
	return out
}

func addresses(picked []rankedHost) []masticcall.Address {
	out := make([]masticcall.Address, 0, len(picked))
	for _, r := range picked {
		out = append(out, masticcall.Address{Address: r.host.Address, Zone: r.host.Zone, Weight: weight(r.host)})
	}
	return out
}

func weight(h masticview.Host) int64 { return max(1, h.Weight) }

// score returns the weighted rendezvous score of h for workspace: -weight / ln(u), where u is a hash
// of both, uniform in (0, 1).
func score(workspace string, h masticview.Host) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(h.Name)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(weight(h)) / math.Log(u)
}
