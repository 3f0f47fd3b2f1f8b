package masticorigin

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"masticladder/masticcall"
)

// BenchmarkApply applies batches of 10 streams of 450 hosts, up to full records, and reports the bytes of a batch
// and of a record in memory for each stream.
func BenchmarkApply(b *testing.B) {
	const perBatch = 10
	batch := func(n int) []masticcall.StreamKey {
		all := make([]masticcall.StreamKey, perBatch)
		for i := range all {
			all[i] = keyOf(n*perBatch + i)
		}
		return all
	}
	r := New()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bytes, n := 0, 0
	for b.Loop() {
		c := begun(fmt.Sprint("host ", n%450), uint64(n+1), "v1.2.3", batch(n)...)
		bytes += proto.Size(c)
		r.Apply(c)
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(bytes)/float64(n*perBatch), "B/stream")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(max(1, r.Len())), "B/record")
	b.ReportMetric(float64(r.Len()), "records")
}
