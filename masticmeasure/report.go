package masticmeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Row is the result of one policy in one scenario of one deployment. Ratios are in hundredths.
type Row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	// HitPercent is the share of prefix tokens that were served from an engine's cache.
	HitPercent int64 `json:"hitPercent"`
	// Percentiles of the time to first token, of all requests and of quick ones, in milliseconds.
	P50Millis      int64 `json:"p50Millis"`
	P99Millis      int64 `json:"p99Millis"`
	QuickP50Millis int64 `json:"quickP50Millis"`
	QuickP99Millis int64 `json:"quickP99Millis"`
	// ComputedTokens is the number of prefix tokens that engines computed; RecomputedPercent is
	// its ratio to the number that would also miss one cache as large as all engines' together.
	ComputedTokens    int64 `json:"computedTokens"`
	RecomputedPercent int64 `json:"recomputedPercent"`
	// Worst is the workspace with the longest 99th percentile, among those within their rate.
	Worst          string `json:"worst"`
	WorstP99Millis int64  `json:"worstP99Millis"`
	// WorstToSteadyPercent is the largest ratio of a workspace's 99th percentile to its own
	// in the steady scenario, among the workspaces within their rate.
	WorstToSteadyPercent int64 `json:"worstToSteadyPercent"`
	Requests             int64 `json:"requests"`
	// WrongfulRefusals counts refusals of workspaces within their rate, Refusals all others.
	WrongfulRefusals int64 `json:"wrongfulRefusals"`
	Refusals         int64 `json:"refusals"`
	// Unanswered counts requests with neither a first token nor a refusal at the end of the run.
	Unanswered int64 `json:"unanswered"`
	// LookUpsHundredths is the number of look-ups of believed cache contents per assignment, in hundredths.
	LookUpsHundredths int64 `json:"lookUpsHundredths"`
	// RecoveryMillis is the time from the fault until the time to first token stays close to
	// that of the steady scenario; see recoveryTime.
	RecoveryMillis int64 `json:"recoveryMillis"`
}

// Report is the result of Run.
type Report struct {
	Seed uint64 `json:"seed"`
	Rows []Row  `json:"rows"`
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "seed %d\n", r.Seed)
	_, _ = fmt.Fprintln(t, "deployment\tscenario\tpolicy\thit%\tp50ms\tp99ms\tquick50\tquick99\trecomputed%\tworst\tworst99\ttoSteady%\twrongful\trefused\topen\tlookUps\trecovery\t")
	for _, x := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d.%02d\t%d\t\n",
			x.Deployment, x.Scenario, x.Policy, x.HitPercent, x.P50Millis, x.P99Millis, x.QuickP50Millis, x.QuickP99Millis,
			x.RecomputedPercent, x.Worst, x.WorstP99Millis, x.WorstToSteadyPercent, x.WrongfulRefusals, x.Refusals,
			x.Unanswered, x.LookUpsHundredths/100, x.LookUpsHundredths%100, x.RecoveryMillis)
	}
	return t.Flush()
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func percent(part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return part * 100 / whole
}
