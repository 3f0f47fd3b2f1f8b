package masticcourse

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"masticladder/masticerror"
	"masticladder/masticview"
)

// sampleSize is the number of values from which the quantiles of a histogram are taken; the
// error of a 99th percentile of 256 is about one in a hundred of the values.
const sampleSize = 256

// classPlain is the kind of requests to plain services.
const classPlain = "plain"

// measures counts the requests of a host by kind and outcome. The names are a closed list,
// of the kinds of requests and the kinds of errors.
type measures struct {
	registry metrics.Registry
	// retries and overBudget are repeated attempts, and those that the budget refused.
	retries, overBudget metrics.Counter
	// resumed are streams that went on at another backend server.
	resumed metrics.Counter
	// quotaWait is the time that requests waited for their workspace's quota, in
	// milliseconds.
	quotaWait metrics.Histogram
	kinds     map[string]kindMeasures
}

// kindMeasures are the times of the requests of one kind, from their receipt, in milliseconds.
type kindMeasures struct {
	// first is up to the first byte of the answer, whole up to its end.
	first, whole metrics.Histogram
}

func newMeasures(r metrics.Registry) *measures {
	kinds := map[string]kindMeasures{}
	for _, kind := range []string{string(masticview.ClassQuick), string(masticview.ClassLong), classPlain} {
		kinds[kind] = kindMeasures{first: histogram(r, "requests."+kind+".firstMillis"), whole: histogram(r, "requests."+kind+".millis")}
	}
	return &measures{
		kinds:      kinds,
		registry:   r,
		retries:    metrics.GetOrRegisterCounter("attempts.repeated", r),
		overBudget: metrics.GetOrRegisterCounter("attempts.overBudget", r),
		resumed:    metrics.GetOrRegisterCounter("streams.resumed", r),
		quotaWait:  histogram(r, "quota.waitMillis"),
	}
}

func histogram(r metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(sampleSize))
}

// kind returns the kind under which a request is counted.
func (r *run) kind() string {
	switch {
	case r.pool.Engine && class(r.call) == masticview.ClassQuick:
		return string(masticview.ClassQuick)
	case r.pool.Engine:
		return string(masticview.ClassLong)
	}
	return classPlain
}

// outcome counts how a request ended.
func (m *measures) outcome(r *run, err *masticerror.Error, now time.Time) {
	outcome := "answered"
	if err != nil {
		outcome = string(err.Kind())
	}
	kind := r.kind()
	metrics.GetOrRegisterCounter("requests."+kind+"."+outcome, m.registry).Inc(1)
	if !r.firstAt.IsZero() {
		m.kinds[kind].first.Update(r.firstAt.Sub(r.call.Received).Milliseconds())
	}
	m.kinds[kind].whole.Update(now.Sub(r.call.Received).Milliseconds())
}
