package masticrelay

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// sampleSize is the number of values from which the quantiles of a histogram are computed.
// With 256 values, the rank of the computed 99th percentile is off by about one percentage point.
const sampleSize = 256

// kindPlain is the kind of requests to plain services.
const kindPlain = "plain"

// requestMetrics counts the requests of a host by kind and outcome. The set of metric names is
// bounded: it is made of the kinds of requests and the kinds of errors.
type requestMetrics struct {
	registry metrics.Registry
	// retries counts repeated attempts, overBudget those that the retry budget denied.
	retries, overBudget metrics.Counter
	// resumed counts streams that were resumed on another backend server.
	resumed metrics.Counter
	// firstAttempts counts the requests that were given to a pool; the retry budget is a fraction of
	// them. endedServers counts the attempts under which a server ended.
	firstAttempts, endedServers metrics.Counter
	// limitedAnswers counts answers in which a backend server stated the rate of requests that it takes.
	limitedAnswers metrics.Counter
	// leavingAnswers counts answers in which a backend server stated that it is leaving, pausedAnswers
	// those in which it asked for no requests for a time.
	leavingAnswers, pausedAnswers metrics.Counter
	// streamsRecorded counts streams whose software version was recorded before their first event,
	// recordsFailed those for which that failed, takeUpsRefused take-ups without a known version or a server of
	// it. recordWait is how long first events waited for it, in milliseconds.
	streamsRecorded, recordsFailed, takeUpsRefused metrics.Counter
	recordWait                                     metrics.Histogram
	// callersGone counts requests that were dropped before they were sent because their caller had closed the connection, expired
	// those dropped because their deadline had passed. readDelay is how long requests had arrived when they were read, in
	// milliseconds.
	callersGone, expired metrics.Counter
	readDelay            metrics.Histogram
	// outdated counts refusals because of an outdated view, instead of those for a route or key.
	outdated metrics.Counter
	// quotaWait is the time in milliseconds that requests waited for their workspace's quota.
	quotaWait metrics.Histogram
	kinds     map[string]kindMetrics
}

// kindMetrics holds the latencies of the requests of one kind, in milliseconds from receipt.
type kindMetrics struct {
	// firstByte is the latency of the first byte of the response, total that of its end.
	firstByte, total metrics.Histogram
}

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	kinds := map[string]kindMetrics{}
	for _, kind := range []string{string(masticview.ClassQuick), string(masticview.ClassLong), kindPlain} {
		kinds[kind] = kindMetrics{firstByte: histogram(r, "requests."+kind+".firstMillis"), total: histogram(r, "requests."+kind+".millis")}
	}
	return &requestMetrics{
		kinds:          kinds,
		registry:       r,
		retries:        metrics.GetOrRegisterCounter("attempts.repeated", r),
		overBudget:     metrics.GetOrRegisterCounter("attempts.overBudget", r),
		resumed:        metrics.GetOrRegisterCounter("streams.resumed", r),
		firstAttempts:  metrics.GetOrRegisterCounter("attempts.first", r),
		endedServers:   metrics.GetOrRegisterCounter("attempts.serverEnded", r),
		limitedAnswers: metrics.GetOrRegisterCounter("attempts.limitStated", r),
		leavingAnswers: metrics.GetOrRegisterCounter("attempts.leavingStated", r),
		pausedAnswers:  metrics.GetOrRegisterCounter("attempts.pauseStated", r),
		quotaWait:      histogram(r, "quota.waitMillis"),
		callersGone:    metrics.GetOrRegisterCounter("attempts.callerGone", r),
		outdated:       metrics.GetOrRegisterCounter("requests.viewOutdated", r),
		expired:        metrics.GetOrRegisterCounter("attempts.expired", r),
		readDelay:      histogram(r, "requests.readDelayMillis"),

		streamsRecorded: metrics.GetOrRegisterCounter("streams.recorded", r),
		recordsFailed:   metrics.GetOrRegisterCounter("streams.recordFailed", r),
		takeUpsRefused:  metrics.GetOrRegisterCounter("streams.takeUpRefused", r),
		recordWait:      histogram(r, "streams.recordMillis"),
	}
}

func histogram(r metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(sampleSize))
}

// kind returns the kind under which the request is counted.
func (r *requestState) kind() string {
	switch {
	case r.pool.Engine && class(r.call) == masticview.ClassQuick:
		return string(masticview.ClassQuick)
	case r.pool.Engine:
		return string(masticview.ClassLong)
	}
	return kindPlain
}

// recordStatement counts what an answer stated about its backend server.
func (m *requestMetrics) recordStatement(s masticcall.Statement) {
	if s.Rate.Kind == masticcall.RateLimited {
		m.limitedAnswers.Inc(1)
	}
	if s.Leaving {
		m.leavingAnswers.Inc(1)
	}
	if s.Paused() {
		m.pausedAnswers.Inc(1)
	}
}

// recordOutcome counts the outcome of a request and records its latencies.
func (m *requestMetrics) recordOutcome(r *requestState, err *masticerror.Error, now time.Time) {
	outcome := "answered"
	if err != nil {
		outcome = string(err.Kind())
	}
	kind := r.kind()
	metrics.GetOrRegisterCounter("requests."+kind+"."+outcome, m.registry).Inc(1)
	if !r.firstByteAt.IsZero() {
		m.kinds[kind].firstByte.Update(r.firstByteAt.Sub(r.call.Received).Milliseconds())
	}
	m.kinds[kind].total.Update(now.Sub(r.call.Received).Milliseconds())
}
