package masticring

import (
	"flag"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticerror"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestRingBehavesLikeBoundedQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		ring := New[int]("test", capacity)
		var model []int
		closed := false
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				n := rapid.Int().Draw(t, "n")
				var want masticerror.Kind
				switch {
				case closed:
					want = masticerror.KindDraining
				case len(model) == capacity:
					want = masticerror.KindOverloaded
				default:
					model = append(model, n)
				}
				if got := masticerror.KindOf(ring.Offer(n)); got != want {
					t.Fatalf("offer: %q, want %q", got, want)
				}
			},
			"take": func(t *rapid.T) {
				n, ok := ring.Take()
				if ok != (len(model) > 0) {
					t.Fatalf("take: %v with %d items", ok, len(model))
				}
				if ok && n != model[0] {
					t.Fatalf("took %d, want %d", n, model[0])
				}
				if ok {
					model = model[1:]
				}
			},
			"close": func(*rapid.T) {
				ring.Close()
				closed = true
			},
		})
	})
}

type producer struct {
	ring     *Ring[int]
	accepted int
	done     *sync.WaitGroup
}

func (p *producer) run() {
	defer p.done.Done()
	for {
		switch masticerror.KindOf(p.ring.Offer(1)) {
		case "":
			p.accepted++
		case masticerror.KindDraining:
			return
		}
	}
}

func TestAcceptedItemsAreDeliveredAfterClose(t *testing.T) {
	c := quicktest.New(t)
	ring := New[int]("test", 8)
	var done sync.WaitGroup
	producers := make([]*producer, 4)
	for i := range producers {
		producers[i] = &producer{ring: ring, done: &done}
		done.Add(1)
		go producers[i].run()
	}
	taken := 0
	for range ring.Out() {
		taken++
		if taken == 1000 {
			ring.Close()
		}
	}
	done.Wait()
	accepted := 0
	for _, p := range producers {
		accepted += p.accepted
	}
	c.Assert(taken, quicktest.Equals, accepted)
}
