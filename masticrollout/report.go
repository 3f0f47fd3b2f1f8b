package masticrollout

import (
	"cmp"
	"maps"
	"slices"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// Reports returns what this host has counted of the services whose rollout has not ended, in the order of their names.
func (t *Traffic) Reports() []*masticproto.RolloutEvidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var out []*masticproto.RolloutEvidence
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		if s := t.services[name]; s.rollout.Sequence > 0 && !s.rollout.Step.Final() {
			out = append(out, s.report())
		}
	}
	return out
}

func (s *serviceTraffic) report() *masticproto.RolloutEvidence {
	p := &masticproto.RolloutEvidence{
		Service: s.rollout.Service, FirstSequence: s.rollout.FirstSequence, Sequence: s.rollout.Sequence,
		Requests: s.requests, Exposed: s.exposed, RunningTarget: s.waitingTarget, RunningOther: s.waiting,
	}
	for version, n := range s.running {
		if version == s.rollout.Target {
			p.RunningTarget += n
		} else {
			p.RunningOther += n
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.rows), compareRows) {
		row := s.rows[k]
		p.Rows = append(p.Rows, &masticproto.RolloutRow{
			Route: k.route, Stratum: k.stratum, Server: k.server, Bad: row.bad, Good: trimmed(row.good[:]),
		})
	}
	return p
}

func compareRows(a, b rowKey) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.stratum, b.stratum), cmp.Compare(a.server, b.server))
}

// trimmed returns a copy without the zeros at the end.
func trimmed(n []int64) []int64 {
	for len(n) > 0 && n[len(n)-1] == 0 {
		n = n[:len(n)-1]
	}
	return slices.Clone(n)
}

// Exposure returns, for each service with a rollout, its target version and how many requests and requests to that
// version this host has sent since the order.
func (t *Traffic) Exposure() map[string]Exposure {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	out := map[string]Exposure{}
	for name, s := range t.services {
		if s.rollout.Sequence > 0 {
			out[name] = Exposure{Rollout: s.rollout, Requests: s.requests, Exposed: s.exposed}
		}
	}
	return out
}

// Exposure is how many requests of a service this host has sent since the order of its rollout.
type Exposure struct {
	Rollout           masticview.Rollout
	Requests, Exposed int64
}
