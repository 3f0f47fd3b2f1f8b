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

// Service is a stand-in for a plain service. It is an http.Handler that counts how
// often it ran each order.
type Service struct {
	name string

	mu       sync.Mutex
	mode     Mode
	counts   map[string]int
	received recent
	// release, when set, is waited for by orders that have already run.
	release <-chan struct{}
}

// ServiceOption configures a Service.
type ServiceOption func(*Service)

// WithRelease makes orders wait for the channel after they ran and before they answer.
func WithRelease(c <-chan struct{}) ServiceOption { return func(s *Service) { s.release = c } }

// NewService returns a service called name.
func NewService(name string, options ...ServiceOption) *Service {
	s := &Service{name: name, mode: ModeNormal, counts: make(map[string]int)}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetMode makes the service fail, or work again.
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

// Received returns the latest calls that reached the service.
func (s *Service) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.list()
}

// ServeHTTP runs an order, or answers GET /count with all counts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/count" {
		s.serveCount(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	order := orderOf(r, body)
	s.answer(w, r, order, s.take(r, order, body))
}

// orderOf returns the order's identifier: the field order or id of a JSON body, else the
// last part of the path.
func orderOf(r *http.Request, body []byte) string {
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

// take records the call, and counts it unless it is refused.
func (s *Service) take(r *http.Request, order string, body []byte) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received.add(r, body)
	if s.mode != ModeRefuse {
		s.counts[order]++
	}
	return s.mode
}

// answer replies to an order that has run.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, order string, m Mode) {
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
