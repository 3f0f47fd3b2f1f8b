package masticusage

import (
	"maps"
	"slices"

	"masticladder/masticcall"
)

// Share is the usage of the backend servers of one owner by the workspaces of another.
type Share struct {
	WorkspaceOwner, ServerOwner         string
	Requests, InputTokens, OutputTokens int64
}

// Difference is a row in which charged and served usage differ.
type Difference struct {
	Row     ServedRow
	Charged Served
	Served  Served
}

// Sums returns the totals by row, sorted, for operators.
func (t *Totals) Sums() []masticcall.UsageTotal {
	rows := t.Rows()
	out := make([]masticcall.UsageTotal, 0, len(rows))
	for _, r := range slices.SortedFunc(maps.Keys(rows), compareRows) {
		c := rows[r]
		out = append(out, masticcall.UsageTotal{
			Workspace: r.Workspace, Profile: r.Profile, Model: r.Model, ServerOwner: r.ServerOwner,
			Requests: c.Requests, Orders: c.Orders, InputTokens: c.InputTokens, OutputTokens: c.OutputTokens,
			CachedTokens: c.CachedTokens, RecomputedTokens: c.RecomputedTokens, Refusals: c.Refusals,
		})
	}
	return out
}

// ServedSums returns the totals by served row, sorted, for operators.
func (t *Totals) ServedSums() []masticcall.ServedTotal {
	rows := t.ServedRows()
	out := make([]masticcall.ServedTotal, 0, len(rows))
	for _, r := range slices.SortedFunc(maps.Keys(rows), compareServedRows) {
		s := rows[r]
		out = append(out, masticcall.ServedTotal{
			ServerOwner: r.ServerOwner, Model: r.Model,
			Requests: s.Requests, InputTokens: s.InputTokens, OutputTokens: s.OutputTokens,
		})
	}
	return out
}

// Shares returns the usage by the owners of the workspace and of the backend server, sorted;
// ownerOf returns the owner of a workspace.
func (t *Totals) Shares(ownerOf func(workspace string) string) []Share {
	type pair struct{ workspace, server string }
	sums := make(map[pair]Share)
	for r, c := range t.Rows() {
		k := pair{ownerOf(r.Workspace), r.ServerOwner}
		s := sums[k]
		s.WorkspaceOwner, s.ServerOwner = k.workspace, k.server
		s.Requests += c.Requests
		s.InputTokens += c.InputTokens
		s.OutputTokens += c.OutputTokens
		sums[k] = s
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b Share) int {
		return compareServedRows(ServedRow{a.WorkspaceOwner, a.ServerOwner}, ServedRow{b.WorkspaceOwner, b.ServerOwner})
	})
}

// Check returns the differences between what workspaces were charged and what backend
// servers served. Between reports of one daemon incarnation there are none, because each
// report contains both.
func (t *Totals) Check() []Difference {
	charged := make(map[ServedRow]Served)
	for r, c := range t.Rows() {
		k := ServedRow{r.ServerOwner, r.Model}
		charged[k] = charged[k].combine(Served{c.Requests, c.InputTokens, c.OutputTokens}, sum)
	}
	served := t.ServedRows()
	keys := maps.Clone(served)
	maps.Copy(keys, charged)
	var out []Difference
	for _, k := range slices.SortedFunc(maps.Keys(keys), compareServedRows) {
		if charged[k] != served[k] {
			out = append(out, Difference{Row: k, Charged: charged[k], Served: served[k]})
		}
	}
	return out
}
