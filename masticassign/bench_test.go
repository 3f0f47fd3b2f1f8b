package masticassign

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// benchHandler answers questions.
type benchHandler struct{ *Server }

func (benchHandler) Stream(context.Context, *masticproto.PeerRequest, func(*masticproto.PeerAnswer) error) error {
	return nil
}

// benchServer runs a server of questions.
type benchServer struct{ *masticwire.Server }

func (s benchServer) run() { _ = s.Run() }

// BenchmarkQuestion measures one question to a coordinator over a connection, both sides together, without the assignment itself, and its
// bytes in both directions.
func BenchmarkQuestion(b *testing.B) {
	w := masticwire.New()
	s, err := w.Listen("127.0.0.1:0", benchHandler{NewServer(&countingCoordinator{})})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	go benchServer{s}.run()
	asking := masticwire.New()
	client := NewClient(asking, metrics.NewRegistry())
	defer client.Close()
	q := masticcall.ShardRequest{Host: "10.0.0.1:7600", Request: masticcall.Request{
		ID: "4f2c9a7b11e08d35", Workspace: "kaxa653", Weight: 1, Model: "huvo11a/daka510000", Class: masticview.ClassQuick, PromptTokens: 383, OutputTokens: 5,
		Digest: masticview.DigestOf([]byte("x")), Shard: 3, FirstTokenDeadline: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour),
	}}
	for i := range 2 {
		q.Request.Levels = append(q.Request.Levels, masticcall.Level{Role: "part", Text: fmt.Sprintf("%08x", i), Tokens: 191})
	}
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
		if _, err := client.Assign(ctx, s.Address(), q); err != nil {
			b.Fatal(err)
		}
		cancel()
		q.ID++
	}
	in, out := asking.Bytes()
	b.ReportMetric(float64(in)/float64(b.N), "bytesIn/op")
	b.ReportMetric(float64(out)/float64(b.N), "bytesOut/op")
}
