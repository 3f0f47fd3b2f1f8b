package masticrollout

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"masticladder/masticview"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestPartsOfAnAllowance guards against hosts that send more than the allowance together, because of rounding, and against
// a part that is granted twice, because it decreased as the allowance grew.
func TestPartsOfAnAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []masticview.Host
		for i := range rapid.IntRange(1, 90).Draw(t, "hosts") {
			hosts = append(hosts, masticview.Host{
				Name: fmt.Sprint("h", i), Address: "a", State: masticview.HostLive, Weight: rapid.Int64Range(0, 400).Draw(t, "weight"),
			})
		}
		r := masticview.Rollout{Service: "huvo", FirstSequence: rapid.Uint64().Draw(t, "sequence")}
		before := make([]int64, len(hosts))
		for _, n := range []int64{0, 1, 7, 50, 200, 5_000} {
			r.Allowance = n
			sum := int64(0)
			for i, h := range hosts {
				part := partOf(h.Name, r, hosts)
				if part < before[i] {
					t.Fatalf("the part of %s decreased from %d to %d", h.Name, before[i], part)
				}
				before[i] = part
				sum += part
			}
			if sum > n || sum < n-1 {
				t.Fatalf("parts add up to %d, allowed are %d", sum, n)
			}
		}
	})
}
