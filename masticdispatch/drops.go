package masticdispatch

import "github.com/rcrowley/go-metrics"

// DropKind is the kind of a command that the dispatcher may drop when its inbox is full.
type DropKind int

// The kinds of droppable commands.
const (
	// DropReport is a load report of a backend server or a report of a peer host.
	DropReport DropKind = iota
	// DropEvents is a batch of cache events. The gap is detected with the next batch.
	DropEvents
	// DropRate is the request rate that an answer stated.
	DropRate
)

// Drops counts the dropped commands by kind.
type Drops struct {
	reports, events, rates metrics.Counter
}

func newDrops() *Drops {
	return &Drops{reports: metrics.NewCounter(), events: metrics.NewCounter(), rates: metrics.NewCounter()}
}

func (d *Drops) add(k DropKind) {
	switch k {
	case DropReport:
		d.reports.Inc(1)
	case DropEvents:
		d.events.Inc(1)
	case DropRate:
		d.rates.Inc(1)
	}
}

// Register adds the counters to r.
func (d *Drops) Register(r metrics.Registry) error {
	if err := r.Register("dispatch.droppedReports", d.reports); err != nil {
		return err
	}
	if err := r.Register("dispatch.droppedEventBatches", d.events); err != nil {
		return err
	}
	return r.Register("dispatch.droppedRates", d.rates)
}
