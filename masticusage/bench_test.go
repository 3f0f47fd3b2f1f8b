package masticusage

import (
	"fmt"
	"testing"

	"masticladder/masticcall"
)

func BenchmarkMerge(b *testing.B) {
	for _, rows := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			c := NewCounter("h", "1")
			for i := range rows {
				c.Add(masticcall.UsageRecord{Workspace: fmt.Sprint(i), Model: "m", ServerOwner: "o", InputTokens: 1})
			}
			r := c.Report()
			t := NewTotals()
			b.ReportAllocs()
			for b.Loop() {
				t.Merge(startTime, r)
			}
		})
	}
}
