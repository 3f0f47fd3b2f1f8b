package masticbackend

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"masticladder/masticfake"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestNotSentFailureMeansNothingArrived sends requests to servers that reset connections at any point,
// over new and reused connections. After a failure with Sent false nothing must have arrived, and
// every request must arrive at most once.
func TestNotSentFailureMeansNothingArrived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := masticfake.ServeResetting(rapid.IntRange(0, 3).Draw(t, "reads"), rapid.IntRange(0, 3).Draw(t, "answers"))
		if err != nil {
			t.Fatal(err)
		}
		if rapid.IntRange(0, 4).Draw(t, "down") == 0 {
			s.Down()
		}
		client := New()
		notSent := map[string]bool{}
		for i := range 4 {
			id := fmt.Sprintf("call-%d", i)
			ctx, cancel := context.WithCancel(context.Background())
			if rapid.IntRange(0, 4).Draw(t, "cancelled") == 0 {
				cancel()
			}
			notSent[id] = sendOne(ctx, client, s.Address(), id)
			cancel()
		}
		client.CloseIdle(time.Now().Add(time.Hour))
		s.Close()
		for id, claimed := range notSent {
			if n := s.Arrivals(id); claimed && n > 0 || n > 1 {
				t.Fatalf("%s, not sent %t, arrived %d times", id, claimed, n)
			}
		}
	})
}

// sendOne sends one request and reports whether its failure states that it was not sent.
func sendOne(ctx context.Context, client *Client, address, id string) bool {
	answer, err := client.Do(ctx, Request{
		Address: address, ID: id, Method: http.MethodGet, URI: "/", Host: "host.example",
		Header: http.Header{"X-Request-Id": {id}}, Deadline: time.Now().Add(20 * time.Millisecond),
	})
	if err == nil {
		var body [16]byte
		for err == nil {
			_, err = answer.Read(body[:])
		}
		answer.Close()
		return false
	}
	var f *Failure
	return errors.As(err, &f) && !f.Sent
}
