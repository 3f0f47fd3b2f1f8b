package masticfake

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Service is a fake plain service. It is an http.Handler that counts how often it ran each order;
// an order is a call with an identifier.
type Service struct {
	name string

	mu       sync.Mutex
	mode     Mode
	counts   map[string]int
	received receivedLog
	// release, if set, is awaited by each order after it has run and before it responds.
	release <-chan struct{}
}

// ServiceOption configures a Service.
type ServiceOption func(*Service)

// WithRelease makes an order wait for the channel after it has run and before it responds.
func WithRelease(c <-chan struct{}) ServiceOption { return func(s *Service) { s.release = c } }

// NewService returns a service with the given name.
func NewService(name string, options ...ServiceOption) *Service {
	s := &Service{name: name, mode: ModeNormal, counts: make(map[string]int)}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetMode sets the fault that the service simulates.
func (s *Service) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Count returns how often the order ran.
func (s *Service) Count(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[order]
}

// Received returns the latest calls that the service received.
func (s *Service) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.list()
}

// ServeHTTP runs an order, or responds to GET /count with all counts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/count" {
		s.serveCount(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	order := orderID(r, body)
	s.respond(w, r, order, s.record(r, order, body))
}

// orderID returns the identifier of an order: the field order or id of a JSON body, or else the last
// segment of the path.
func orderID(r *http.Request, body []byte) string {
	var named struct {
		Order string `json:"order"`
		ID    string `json:"id"`
	}
	_ = json.Unmarshal(body, &named)
	return cmp.Or(named.Order, named.ID, r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
}

func (s *Service) serveCount(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.counts)
}

// record stores the call, counts it unless the mode refuses it, and returns the mode.
func (s *Service) record(r *http.Request, order string, body []byte) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received.add(r, body)
	if s.mode != ModeRefuse {
		s.counts[order]++
	}
	return s.mode
}

// respond responds to an order that has run, or simulates the fault of mode m.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, order string, m Mode) {
	if s.release != nil {
		<-s.release
	}
	body := []byte(`{"service":"` + s.name + `","order":"` + order + `"}`)
	id := r.Header.Get(headerRequestID)
	w.Header().Set("Content-Type", "application/json")
	switch m {
	case ModeHang:
		<-r.Context().Done()
		return
	case ModeRefuse:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case ModeCut, ModeHalf:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case ModeCrossed:
		id += "-other"
	}
	w.Header().Set(headerRequestID, id)
	_, _ = w.Write(body)
}
