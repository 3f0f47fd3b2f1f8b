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
	// maxMicros is the longest time that is told apart, in microseconds.
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxFaults         = 20
)

// percentiles are the quantiles of a report, in percent.
var percentiles = []float64{50, 90, 99, 99.9, 100}

// Quantile is the time that a share of the requests did not exceed.
type Quantile struct {
	Percent float64 `json:"percent"`
	Millis  float64 `json:"millis"`
}

// Report is the outcome of a run. All times count from when a request was due.
type Report struct {
	Requests int64 `json:"requests"`
	// Whole counts answers that were whole, in order and, where checked, their own.
	Whole int64 `json:"whole"`
	// Refusals counts error answers and error events by kind.
	Refusals       map[string]int64 `json:"refusals"`
	NotRun         int64            `json:"notRun"`
	OutcomeUnknown int64            `json:"outcomeUnknown"`
	// Broken counts answers that were cut, out of order or another's, without the system saying so.
	Broken int64 `json:"broken"`
	// Lost counts connections that failed.
	Lost int64 `json:"lost"`
	// Moved counts hosts of a valid address answer that could not be connected to; the request
	// went to another one.
	Moved int64 `json:"moved"`
	// Faults describe the first broken and lost answers.
	Faults     []string   `json:"faults"`
	Seconds    float64    `json:"seconds"`
	PerSecond  float64    `json:"perSecond"`
	FirstToken []Quantile `json:"firstToken"`
	Answer     []Quantile `json:"answer"`
}

// collector adds up what the workers saw.
type collector struct {
	mu     sync.Mutex
	totals Report
	first  *hdrhistogram.Histogram
	answer *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		totals: Report{Refusals: make(map[string]int64), Faults: []string{}},
		first:  hdrhistogram.New(1, maxMicros, significantDigits),
		answer: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

func (c *collector) add(d due, got received, now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.totals
	t.Requests++
	if err == nil {
		t.Whole++
		record(c.first, got.firstAt.Sub(d.at))
		record(c.answer, now.Sub(d.at))
		return
	}
	if r, ok := asRefusal(err); ok {
		t.Refusals[r.Kind]++
		t.NotRun += count(r.NotRun)
		t.OutcomeUnknown += count(r.OutcomeUnknown)
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
	return errors.Is(err, errNotWhole) || errors.Is(err, errOrder) || errors.Is(err, errNotOwn)
}

func count(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func (c *collector) report(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.totals
	t.Seconds = elapsed.Seconds()
	t.PerSecond = float64(t.Requests) / t.Seconds
	t.FirstToken, t.Answer = quantiles(c.first), quantiles(c.answer)
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

// Failed reports whether an answer was broken or lost without the system saying so.
func (r Report) Failed() bool { return r.Broken+r.Lost > 0 }

// Text returns the report for people.
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
