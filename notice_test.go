package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticengine"
)

// statingBackend states in its answers that it is leaving, or turns requests away with a pause, and records
// which requests reach it.
type statingBackend struct {
	next http.Handler

	mutex sync.Mutex
	// leaving and pause are what it states from state on; toldAt is when it first did so, in any answer.
	leaving  bool
	pause    string
	stated   bool
	toldAt   time.Time
	arrivals []time.Time
}

func (b *statingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.answer(w, r) {
		return
	}
	b.next.ServeHTTP(w, r)
}

// answer writes what the backend states and reports whether the request is turned away.
func (b *statingBackend) answer(w http.ResponseWriter, r *http.Request) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	isRequest := r.Method == http.MethodPost
	if isRequest {
		b.arrivals = append(b.arrivals, time.Now())
	}
	if !b.stated || !b.leaving && !isRequest {
		return false
	}
	if b.toldAt.IsZero() {
		b.toldAt = time.Now()
	}
	if b.leaving {
		w.Header().Set(masticengine.HeaderServerLeaving, "1")
	}
	if b.pause == "" {
		return false
	}
	w.Header().Set(masticengine.HeaderRequestID, r.Header.Get(masticengine.HeaderRequestID))
	w.Header().Set("Retry-After", b.pause)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (b *statingBackend) state() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stated = true
}

// count returns the number of requests.
func (b *statingBackend) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.arrivals)
}

// late counts the requests that arrived later than the given time after the first statement. It reports
// false if the backend has stated nothing.
func (b *statingBackend) late(after time.Duration) (int, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	late := 0
	for _, at := range b.arrivals {
		if !b.toldAt.IsZero() && at.Sub(b.toldAt) > after {
			late++
		}
	}
	return late, !b.toldAt.IsZero()
}

// TestEngineThatLeavesOrPausesGetsRequests: engines and plain services behind the gate got as many requests
// as before once they stated that they wanted none.
func TestEngineThatLeavesOrPausesGetsRequests(t *testing.T) {
	const notice, span = 500 * time.Millisecond, 3 * time.Second
	for _, x := range []struct {
		name    string
		leaving bool
		pause   string
	}{
		{"leave", true, ""},
		{"pause", false, "600"},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := startBackends(t)
			engine := &statingBackend{next: b.engines[0], leaving: x.leaving, pause: x.pause}
			b.serve(t, "engine-stating", engine, "engine")
			orders := &statingBackend{next: b.orders, leaving: x.leaving, pause: x.pause}
			b.serve(t, "orders-stating", orders, "service")
			b.change.Services[0].Servers = []string{"orders-stating"}
			p := newFleet(t, 3)
			for _, h := range p {
				h.start()
			}
			publishUntilAccepted(t, p, "first", b.change)
			waitServing(t, p[0])
			send := func() {
				p[0].chat(testKey, fmt.Sprint("question ", time.Now().UnixNano()))
				p[0].order(fmt.Sprint("order ", time.Now().UnixNano()))
			}
			waitFor(t, "requests at both servers", func() bool {
				send()
				return engine.count() > 0 && orders.count() > 0
			})
			engine.state()
			orders.state()
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				send()
			}
			for name, s := range map[string]*statingBackend{"engine": engine, "service": orders} {
				late, stated := s.late(notice)
				t.Logf("%s: %d requests, %d late", name, s.count(), late)
				qt.Check(t, stated, qt.IsTrue, qt.Commentf("%s", name))
				qt.Check(t, late, qt.Equals, 0, qt.Commentf("%s", name))
			}
		})
	}
}
