package masticstate

import (
	"fmt"
	"testing"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// BenchmarkApplyReserve applies reservations to a state with the orders of one day.
func BenchmarkApplyReserve(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const day = 24 * 3_600_000
			d := masticview.DigestOf(nil)
			s := New()
			reserve := func(i int, at int64) {
				s.Apply(uint64(i+1), &masticproto.Command{AtUnixMs: at, Kind: &masticproto.Command_Reserve{Reserve: &masticproto.Reserve{
					Workspace: "mill", IdempotencyKey: fmt.Sprint(i), RequestDigest: d[:], Host: "h", Incarnation: "1",
					Attempt: 1, DeadlineUnixMs: at + 60_000, RetainUntilUnixMs: at + day,
				}}})
			}
			for i := range n {
				reserve(i, startMs+int64(i)*day/int64(n))
			}
			i := n
			b.ReportAllocs()
			for b.Loop() {
				reserve(i, startMs+day)
				i++
			}
		})
	}
}
