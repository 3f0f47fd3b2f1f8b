package masticcommand

import (
	"cmp"
	"context"
	"encoding/csv"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

const usageHelp = `Shows the usage charged to workspaces and served by backend servers, and checks that both agree.

Examples:
  masticladder usage --by owner
  masticladder usage --by workspace --json
  masticladder usage --by server --csv

--by owner sums by the workspace's owner (charged) and by the backend server's owner (served);
the cross-check compares both for each owner of backend servers and model. Totals count from the start of the fleet.

` + exitCodeHelp

type usageCommand struct {
	adminOptions
	By  string `long:"by" default:"owner" choice:"owner" choice:"workspace" choice:"server" description:"grouping of the rows"`
	CSV bool   `long:"csv" description:"print comma-separated values"`
}

// usageRow is one printed row.
type usageRow struct {
	Side             string `json:"side"`
	Name             string `json:"name"`
	Requests         int64  `json:"requests"`
	Orders           int64  `json:"orders"`
	InputTokens      int64  `json:"inputTokens"`
	OutputTokens     int64  `json:"outputTokens"`
	CachedTokens     int64  `json:"cachedTokens"`
	RecomputedTokens int64  `json:"recomputedTokens"`
	Refused          int64  `json:"refused"`
}

// usageReport is the printed report.
type usageReport struct {
	Rows []usageRow `json:"rows"`
	// Agreed reports whether the charged and the served totals are equal.
	Agreed bool `json:"agreed"`
}

// Execute shows the usage.
func (u *usageCommand) Execute([]string) error {
	ctx := context.Background()
	view, err := u.client().View(ctx)
	if err != nil {
		return err
	}
	totals, err := u.client().Usage(ctx)
	if err != nil {
		return err
	}
	owners := map[string]string{}
	for _, w := range view.Workspaces {
		owners[w.Name] = w.Owner
	}
	return u.print(summarise(totals, u.By, owners))
}

func summarise(report masticcall.UsageReport, by string, owners map[string]string) usageReport {
	charged := map[string]usageRow{}
	served := map[string]usageRow{}
	for _, t := range report.Charged {
		name := t.Workspace
		if by == "owner" {
			name = owners[t.Workspace]
		}
		charged[name] = addCharged(charged[name], name, t)
	}
	for _, s := range report.Served {
		served[s.ServerOwner] = addServed(served[s.ServerOwner], s)
	}
	r := usageReport{Agreed: totalsAgree(report)}
	if by != "server" {
		r.Rows = append(r.Rows, sortedRows(charged)...)
	}
	if by != "workspace" {
		r.Rows = append(r.Rows, sortedRows(served)...)
	}
	return r
}

func addCharged(r usageRow, name string, t masticcall.UsageTotal) usageRow {
	r.Side = "charged"
	r.Name = name
	r.Requests += t.Requests
	r.Orders += t.Orders
	r.InputTokens += t.InputTokens
	r.OutputTokens += t.OutputTokens
	r.CachedTokens += t.CachedTokens
	r.RecomputedTokens += t.RecomputedTokens
	for _, n := range t.Refusals {
		r.Refused += n
	}
	return r
}

func addServed(r usageRow, s masticcall.ServedTotal) usageRow {
	r.Side = "served"
	r.Name = s.ServerOwner
	r.Requests += s.Requests
	r.InputTokens += s.InputTokens
	r.OutputTokens += s.OutputTokens
	return r
}

// crossCheckKey identifies one comparison of the cross-check.
type crossCheckKey struct{ owner, model string }

// totalsAgree reports whether the usage charged to workspaces equals the usage served by backend
// servers, for each owner of backend servers and each model.
func totalsAgree(report masticcall.UsageReport) bool {
	difference := map[crossCheckKey]masticcall.ServedTotal{}
	for _, t := range report.Charged {
		k := crossCheckKey{t.ServerOwner, t.Model}
		difference[k] = sumTotals(difference[k], masticcall.ServedTotal{Requests: t.Requests, InputTokens: t.InputTokens, OutputTokens: t.OutputTokens})
	}
	for _, s := range report.Served {
		k := crossCheckKey{s.ServerOwner, s.Model}
		difference[k] = sumTotals(difference[k], masticcall.ServedTotal{Requests: -s.Requests, InputTokens: -s.InputTokens, OutputTokens: -s.OutputTokens})
	}
	for _, d := range difference {
		if d != (masticcall.ServedTotal{}) {
			return false
		}
	}
	return true
}

func sumTotals(a, b masticcall.ServedTotal) masticcall.ServedTotal {
	a.Requests += b.Requests
	a.InputTokens += b.InputTokens
	a.OutputTokens += b.OutputTokens
	return a
}

func sortedRows(rows map[string]usageRow) []usageRow {
	out := make([]usageRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b usageRow) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

var usageHeader = []string{"side", "name", "requests", "orders", "inputTokens", "outputTokens", "cachedTokens", "recomputedTokens", "refused"}

func (r usageRow) cells() []string {
	cells := []string{r.Side, r.Name}
	for _, n := range []int64{r.Requests, r.Orders, r.InputTokens, r.OutputTokens, r.CachedTokens, r.RecomputedTokens, r.Refused} {
		cells = append(cells, strconv.FormatInt(n, 10))
	}
	return cells
}

func (u *usageCommand) print(r usageReport) error {
	if u.JSON {
		return u.checkAgreement(printJSON(r), r)
	}
	if u.CSV {
		w := csv.NewWriter(output)
		_ = w.Write(usageHeader)
		for _, x := range r.Rows {
			_ = w.Write(x.cells())
		}
		w.Flush()
		return u.checkAgreement(w.Error(), r)
	}
	rows := make([]string, 0, len(r.Rows))
	for _, x := range r.Rows {
		rows = append(rows, joinCells(x.cells()))
	}
	err := u.table(nil, joinCells(usageHeader), rows)
	fmt.Fprintf(output, "charged and served agree: %t\n", r.Agreed)
	return u.checkAgreement(err, r)
}

func (u *usageCommand) checkAgreement(err error, r usageReport) error {
	if err != nil {
		return err
	}
	if !r.Agreed {
		return masticerror.New(masticerror.KindInternal, "charged and served do not agree")
	}
	return nil
}

func joinCells(cells []string) string { return strings.Join(cells, "\t") }
