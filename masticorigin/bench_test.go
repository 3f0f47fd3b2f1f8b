package masticorigin

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"masticladder/masticcall"
)

// BenchmarkApply applies batches of 10 streams of 450 hosts, up to full records, and reports the bytes of a batch
// and of a record in memory for each key.
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

// BenchmarkExpire applies batches of 188 keys at 250 batches a second, the bound of a large site, whose records last 2 s:
// as many are dropped as are written.
func BenchmarkExpire(b *testing.B) {
	const perBatch, perSecond, lifetimeMs = 188, 250, 2000
	r := New()
	n := 0
	apply := func() {
		all := make([]masticcall.StreamKey, perBatch)
		for i := range all {
			all[i] = keyOf(n*perBatch + i)
		}
		c := begun(fmt.Sprint("host ", n%450), uint64(n+1), "v1.2.3", all...)
		for i := range c.GetBegun()[0].GetLifetimesMs() {
			c.Begun[0].LifetimesMs[i] = lifetimeMs
		}
		c.ElapsedUs = 1_000_000 / perSecond
		r.Apply(c)
		n++
	}
	for range 4 * perSecond {
		apply()
	}
	for b.Loop() {
		apply()
	}
	b.ReportMetric(float64(r.Len()), "records")
}

// BenchmarkSnapshot encodes full records.
func BenchmarkSnapshot(b *testing.B) {
	r := New()
	for n := 0; r.Len() < DefaultMaxRecords; n++ {
		r.Apply(begun(fmt.Sprint("host ", n%450), uint64(n+1), "v1.2.3", keyOf(2*n), keyOf(2*n+1)))
	}
	size := 0
	for b.Loop() {
		size = proto.Size(r.Snapshot())
	}
	b.ReportMetric(float64(size), "B")
}
