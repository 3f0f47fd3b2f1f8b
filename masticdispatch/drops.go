package masticdispatch

import "github.com/rcrowley/go-metrics"

// DropKind names what the dispatcher may drop when its inbox is full.
type DropKind int

// The kinds of droppable input.
const (
	// DropReport is a load report.
	DropReport DropKind = iota
	// DropEvents is a batch of cache events; the next batch shows the gap.
	DropEvents
)

// Drops counts what was dropped.
type Drops struct {
	reports, events metrics.Counter
}

func newDrops() *Drops {
	return &Drops{reports: metrics.NewCounter(), events: metrics.NewCounter()}
}

func (d *Drops) add(k DropKind) {
	if k == DropReport {
		d.reports.Inc(1)
		return
	}
	d.events.Inc(1)
}

// Register adds the counters to r.
func (d *Drops) Register(r metrics.Registry) error {
	if err := r.Register("dispatch.droppedReports", d.reports); err != nil {
		return err
	}
	return r.Register("dispatch.droppedEventBatches", d.events)
}
