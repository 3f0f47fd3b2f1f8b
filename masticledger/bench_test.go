package masticledger

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

var sizes = []int{10_000, 100_000, 1_000_000}

// filledLedger returns a ledger of n recorded orders, each with a body of 64 bytes, and
// the heap bytes per order.
func filledLedger(n int) (*Ledger, float64) {
	body := make([]byte, 64)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g := New()
	for i := range n {
		key := fmt.Sprint("order", i)
		_, _ = g.Reserve(startTime, newReserve(startTime, key, 1, i))
		g.Record(&masticproto.Record{
			Workspace: "mill", IdempotencyKey: key, Host: "h", Incarnation: "1", Attempt: uint64(i),
			Answer: &masticproto.StoredAnswer{Status: 200, Body: append([]byte(nil), body...)},
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return g, float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, size := filledLedger(n)
			r := newReserve(startTime, "next", 1, 1)
			record := &masticproto.Record{Workspace: "mill", Host: "h", Incarnation: "1", Attempt: 1, Answer: &masticproto.StoredAnswer{Status: 200}}
			i := 0
			for b.Loop() {
				r.IdempotencyKey = fmt.Sprint("next", i)
				record.IdempotencyKey = r.IdempotencyKey
				_, _ = g.Reserve(startTime, r)
				g.Record(record)
				i++
			}
			b.ReportMetric(size, "B/order")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, _ := filledLedger(n)
			var size int
			for b.Loop() {
				s, err := proto.Marshal(g.Freeze().Snapshot())
				if err != nil {
					b.Fatal(err)
				}
				size = len(s)
			}
			b.ReportMetric(float64(size)/float64(n), "B/order")
		})
	}
}

func BenchmarkTombstones(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var size float64
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				a := &ExpiredKeys{}
				for i := range n {
					a.Add(newOrderID("mill", fmt.Sprint(i)).tombstone(), 0)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				size = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				runtime.KeepAlive(a)
			}
			b.ReportMetric(size, "B/tombstone")
		})
	}
}

func BenchmarkFreeze(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, _ := filledLedger(n)
			for b.Loop() {
				g.Freeze()
			}
		})
	}
}
