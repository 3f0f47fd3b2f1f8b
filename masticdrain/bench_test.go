package masticdrain

import (
	"context"
	"testing"
	"time"
)

// BenchmarkRequest measures what the plan and the progress cost a request that gets one server and a stream.
func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	var requests Requests
	var plan Plan
	caller, now := context.Background(), time.Now()
	for b.Loop() {
		r := requests.Begin("x", now)
		r.Set(Progress{Stage: StageAdmit}.WithRoute("route", now))
		r.Set(r.Progress().WithStage(StageServer))
		_, waiting := plan.Waiting(caller, now, Repeatable)
		waiting.End()
		r.Set(r.Progress().WithServer(StageAnswer, "server"))
		_, sent := plan.Sent(caller)
		sent.Keep()
		r.Set(r.Progress().WithStage(StageStream))
		sent.End()
		r.End()
	}
}
