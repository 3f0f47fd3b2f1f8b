// Package masticusage counts what workspaces used and what backend servers served.
//
// Counters are cumulative per daemon incarnation. The control group keeps the larger value
// of each, so that a lost, late or repeated report changes no total. Each request is counted
// twice: for the workspace that is charged and, independently, for the owner of the backend
// server. Check compares the two.
package masticusage

import (
	"cmp"
	"maps"
	"slices"

	"masticladder/masticproto"
)

// Row identifies the counters of what a workspace used.
type Row struct{ Workspace, Profile, Model, ServerOwner string }

// ServedRow identifies the counters of what the backend servers of an owner served.
type ServedRow struct{ ServerOwner, Model string }

// Counts are the counters of a Row. Refusals counts refused requests by kind of error.
type Counts struct {
	Requests, Orders               int64
	InputTokens, OutputTokens      int64
	CachedTokens, RecomputedTokens int64
	Refusals                       map[string]int64
}

// Served are the counters of a ServedRow.
type Served struct{ Requests, InputTokens, OutputTokens int64 }

func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Profile, b.Profile),
		cmp.Compare(a.Model, b.Model), cmp.Compare(a.ServerOwner, b.ServerOwner))
}

func compareServedRows(a, b ServedRow) int {
	return cmp.Or(cmp.Compare(a.ServerOwner, b.ServerOwner), cmp.Compare(a.Model, b.Model))
}

// merge returns the larger value of each counter.
func (c Counts) merge(d Counts) Counts { return c.combine(d, larger) }

// add returns the sum of each counter.
func (c Counts) add(d Counts) Counts { return c.combine(d, sum) }

// combine returns f of each pair of counters.
func (c Counts) combine(d Counts, f func(a, b int64) int64) Counts {
	out := Counts{
		Requests:         f(c.Requests, d.Requests),
		Orders:           f(c.Orders, d.Orders),
		InputTokens:      f(c.InputTokens, d.InputTokens),
		OutputTokens:     f(c.OutputTokens, d.OutputTokens),
		CachedTokens:     f(c.CachedTokens, d.CachedTokens),
		RecomputedTokens: f(c.RecomputedTokens, d.RecomputedTokens),
		Refusals:         maps.Clone(c.Refusals),
	}
	for k, n := range d.Refusals {
		if out.Refusals == nil {
			out.Refusals = make(map[string]int64)
		}
		out.Refusals[k] = f(out.Refusals[k], n)
	}
	return out
}

// combine returns f of each pair of counters.
func (s Served) combine(d Served, f func(a, b int64) int64) Served {
	return Served{f(s.Requests, d.Requests), f(s.InputTokens, d.InputTokens), f(s.OutputTokens, d.OutputTokens)}
}

func larger(a, b int64) int64 { return max(a, b) }

func sum(a, b int64) int64 { return a + b }

func encodeCounts(r Row, c Counts) *masticproto.UsageCounter {
	out := &masticproto.UsageCounter{
		Workspace: r.Workspace, Profile: r.Profile, Model: r.Model, ServerOwner: r.ServerOwner,
		Requests: c.Requests, Orders: c.Orders, InputTokens: c.InputTokens, OutputTokens: c.OutputTokens,
		CachedTokens: c.CachedTokens, RecomputedTokens: c.RecomputedTokens,
	}
	for _, k := range slices.Sorted(maps.Keys(c.Refusals)) {
		out.Refusals = append(out.Refusals, &masticproto.RefusalCount{Kind: k, Count: c.Refusals[k]})
	}
	return out
}

func decodeCounts(p *masticproto.UsageCounter) (Row, Counts) {
	c := Counts{
		Requests: p.GetRequests(), Orders: p.GetOrders(), InputTokens: p.GetInputTokens(), OutputTokens: p.GetOutputTokens(),
		CachedTokens: p.GetCachedTokens(), RecomputedTokens: p.GetRecomputedTokens(),
	}
	for _, r := range p.GetRefusals() {
		if c.Refusals == nil {
			c.Refusals = make(map[string]int64)
		}
		c.Refusals[r.GetKind()] = r.GetCount()
	}
	return Row{p.GetWorkspace(), p.GetProfile(), p.GetModel(), p.GetServerOwner()}, c
}

func encodeServed(r ServedRow, s Served) *masticproto.ServedCounter {
	return &masticproto.ServedCounter{
		ServerOwner: r.ServerOwner, Model: r.Model,
		Requests: s.Requests, InputTokens: s.InputTokens, OutputTokens: s.OutputTokens,
	}
}

func decodeServed(p *masticproto.ServedCounter) (ServedRow, Served) {
	return ServedRow{p.GetServerOwner(), p.GetModel()}, Served{p.GetRequests(), p.GetInputTokens(), p.GetOutputTokens()}
}
