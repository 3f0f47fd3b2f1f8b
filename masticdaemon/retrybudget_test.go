package masticdaemon

import (
	"testing"

	"pgregory.net/rapid"

	"masticladder/masticretry"
)

// TestRetryBudgetsOfAllHostsExceedTheirLimit: each host saved up to 20 retries for each pool whatever
// the number of hosts, so that together they sent more than the limit when many requests failed at
// once. Hosts retry whenever they may here, and one in a few restarts within the period.
func TestRetryBudgetsOfAllHostsExceedTheirLimit(t *testing.T) {
	const ratio, pool = 0.2, "pool"
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{7, 8, 57, 85, 300}).Draw(t, "hosts")
		slack := float64(count) * rapid.Float64Range(2, 7).Draw(t, "slack of a host")
		settings := NodeSettings{RetryBudgetRatio: ratio, RetryBudgetSlack: slack}
		weights := make([]float64, count)
		total := 0.0
		for i := range weights {
			weights[i] = rapid.Float64Range(14, 48).Draw(t, "weight")
			total += weights[i]
		}
		requests, retries := 0, 0
		for _, w := range weights {
			budget := newRetryBudget(settings, func() float64 { return w / total })
			for range rapid.IntRange(0, 500).Draw(t, "requests before") {
				budget.RecordFirstAttempt(pool)
			}
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				requests++
				budget.RecordFirstAttempt(pool)
				retries += takeAll(budget, pool)
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				retries += takeAll(newRetryBudget(settings, func() float64 { return w / total }), pool)
			}
		}
		if limit := ratio*float64(requests) + slack; float64(retries) > limit {
			t.Fatalf("%d hosts retried %d times for %d requests; the limit is %.0f", count, retries, requests, limit)
		}
	})
}

// takeAll takes all retries that are left and returns their number.
func takeAll(b *masticretry.Budget, pool string) int {
	n := 0
	for b.TakeRetry(pool) {
		n++
	}
	return n
}
