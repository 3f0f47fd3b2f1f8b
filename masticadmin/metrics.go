package masticadmin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

var quantiles = []float64{0.5, 0.95, 0.99}

// Metrics returns a handler that serves the registry in the Prometheus text format, sorted by name.
func Metrics(r metrics.Registry) http.Handler { return metricsHandler{r} }

type metricsHandler struct{ registry metrics.Registry }

// ServeHTTP writes all metrics of the registry.
func (p metricsHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var names []string
	p.registry.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	for _, n := range names {
		writeMetric(w, prometheusName(n), p.registry.Get(n))
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeValue(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeValue(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeValue(w, name, "counter", float64(m.Count()))
	case metrics.Histogram:
		writeSummary(w, name, m.Snapshot().Percentiles(quantiles), m.Count(), m.Sum())
	case metrics.Timer:
		writeSummary(w, name, m.Snapshot().Percentiles(quantiles), m.Count(), m.Sum())
	}
}

func writeValue(w io.Writer, name, kind string, v float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, v)
}

func writeSummary(w io.Writer, name string, values []float64, count, sum int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}

func prometheusName(name string) string {
	return strings.NewReplacer(".", "_", "-", "_", " ", "_").Replace(name)
}
