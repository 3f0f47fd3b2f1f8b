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
	// leaving and pause are what it states; arrivals are the requests since then.
	leaving  bool
	pause    string
	stated   bool
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
	if !b.stated {
		return false
	}
	if r.Method == http.MethodPost {
		b.arrivals = append(b.arrivals, time.Now())
	}
	if b.leaving {
		w.Header().Set(masticengine.HeaderServerLeaving, "1")
	}
	if b.pause == "" || r.Method != http.MethodPost {
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

// late counts the requests that arrived later than the given time after the first.
func (b *statingBackend) late(after time.Duration) (first, late int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, at := range b.arrivals {
		if at.Sub(b.arrivals[0]) > after {
			late++
		} else {
			first++
		}
	}
	return first, late
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
			engine.state()
			orders.state()
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				p[0].chat(testKey, fmt.Sprint("question ", time.Now().UnixNano()))
				p[0].order(fmt.Sprint("order ", time.Now().UnixNano()))
			}
			for name, s := range map[string]*statingBackend{"engine": engine, "service": orders} {
				first, late := s.late(notice)
				t.Logf("%s: %d requests at first, %d later", name, first, late)
				qt.Check(t, first > 0, qt.IsTrue, qt.Commentf("%s got no request", name))
				qt.Check(t, late, qt.Equals, 0, qt.Commentf("%s", name))
			}
		})
	}
}
