package masticload

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedMicros is the longest time that the histograms distinguish, in microseconds; longer times count as this.
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxFaults         = 20
)

// percentiles are the percentiles that a report contains.
var percentiles = []float64{50, 90, 99, 99.9, 100}

// Quantile is the time that Percent of the requests did not exceed.
type Quantile struct {
	Percent float64 `json:"percent"`
	Millis  float64 `json:"millis"`
}

// Report is the result of a run. Latencies count from when a request was due, so that they
// include the time that it waited in the generator.
type Report struct {
	Requests int64 `json:"requests"`
	// Whole counts answers that were complete, in order and, if CheckText is set, had the expected text.
	Whole int64 `json:"whole"`
	// Refusals counts error answers and error events by kind.
	Refusals       map[string]int64 `json:"refusals"`
	NotRun         int64            `json:"notRun"`
	OutcomeUnknown int64            `json:"outcomeUnknown"`
	// Broken counts answers that were truncated, out of order or another request's, without an
	// error from the system.
	Broken int64 `json:"broken"`
	// Lost counts requests that failed for any other reason, such as a failed connection.
	Lost int64 `json:"lost"`
	// Moved counts failed connections to hosts of a valid host list, after which the request was
	// sent to another host.
	Moved int64 `json:"moved"`
	// Faults describe the first broken and lost requests, at most maxFaults.
	Faults     []string   `json:"faults"`
	Seconds    float64    `json:"seconds"`
	PerSecond  float64    `json:"perSecond"`
	FirstToken []Quantile `json:"firstToken"`
	Answer     []Quantile `json:"answer"`
}

// collector accumulates the results of the workers.
type collector struct {
	mu         sync.Mutex
	totals     Report
	firstToken *hdrhistogram.Histogram
	answer     *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		totals:     Report{Refusals: make(map[string]int64), Faults: []string{}},
		firstToken: hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		answer:     hdrhistogram.New(1, maxRecordedMicros, significantDigits),
	}
}

func (c *collector) add(d dueRequest, answer chatAnswer, now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.totals
	t.Requests++
	if err == nil {
		t.Whole++
		record(c.firstToken, answer.firstTokenAt.Sub(d.at))
		record(c.answer, now.Sub(d.at))
		return
	}
	if r, ok := asRefusal(err); ok {
		t.Refusals[r.Kind]++
		t.NotRun += boolToInt(r.NotRun)
		t.OutcomeUnknown += boolToInt(r.OutcomeUnknown)
		return
	}
	if isBroken(err) {
		t.Broken++
	} else {
		t.Lost++
	}
	if len(t.Faults) < maxFaults {
		t.Faults = append(t.Faults, fmt.Sprintf("request %d: %v", d.number, err))
	}
}

func (c *collector) addMoved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Moved++
}

func isBroken(err error) bool {
	return errors.Is(err, errIncomplete) || errors.Is(err, errOutOfOrder) || errors.Is(err, errWrongRequest)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

func (c *collector) report(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.totals
	t.Seconds = elapsed.Seconds()
	t.PerSecond = float64(t.Requests) / t.Seconds
	t.FirstToken, t.Answer = quantiles(c.firstToken), quantiles(c.answer)
	return t
}

func quantiles(h *hdrhistogram.Histogram) []Quantile {
	out := []Quantile{}
	if h.TotalCount() == 0 {
		return out
	}
	for _, p := range percentiles {
		out = append(out, Quantile{Percent: p, Millis: float64(h.ValueAtQuantile(p)) / 1000})
	}
	return out
}

// Failed reports whether any request was broken or lost, without an error from the system.
func (r Report) Failed() bool { return r.Broken+r.Lost > 0 }

// Text returns the report as readable text.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d in %.1f s (%.1f/s): whole %d, broken %d, lost %d, moved %d, not run %d, outcome unknown %d\n",
		r.Requests, r.Seconds, r.PerSecond, r.Whole, r.Broken, r.Lost, r.Moved, r.NotRun, r.OutcomeUnknown)
	for _, k := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(&b, "refused %-22s %d\n", k, r.Refusals[k])
	}
	writeQuantiles(&b, "first token", r.FirstToken)
	writeQuantiles(&b, "answer", r.Answer)
	for _, f := range r.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

func writeQuantiles(b *strings.Builder, name string, list []Quantile) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(b, "%-12s", name)
	for _, q := range list {
		fmt.Fprintf(b, " p%g %.2f ms", q.Percent, q.Millis)
	}
	b.WriteByte('\n')
}
