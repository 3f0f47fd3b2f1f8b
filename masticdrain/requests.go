// Package masticdrain holds what both request paths need when their host ends: which requests run and what each
// waits for.
package masticdrain

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Stage is what a running request waits for.
type Stage string

// The stages of a request.
const (
	StageBody   Stage = "body"
	StageAdmit  Stage = "admission"
	StageServer Stage = "server"
	StageAnswer Stage = "answer"
	StageStream Stage = "rest of the answer"
)

// maxNamedRequests bounds the requests that LogCut names; the others are only counted.
const maxNamedRequests = 200

// Progress is what is known of a running request. It is immutable.
type Progress struct {
	Route, Server string
	Stage         Stage
	// Deadline is zero while the request has none.
	Deadline time.Time
}

// WithStage returns a copy at a stage.
func (p Progress) WithStage(s Stage) Progress {
	p.Stage = s
	return p
}

// WithServer returns a copy at a stage that a backend server determines.
func (p Progress) WithServer(s Stage, server string) Progress {
	p.Stage, p.Server = s, server
	return p
}

// WithRoute returns a copy with a route and the deadline of the request on it.
func (p Progress) WithRoute(route string, deadline time.Time) Progress {
	p.Route, p.Deadline = route, deadline
	return p
}

// Request is one running request. It is safe for concurrent use.
type Request struct {
	id       string
	since    time.Time
	requests *Requests
	progress atomic.Pointer[Progress]
}

// Progress returns the progress that was set last.
func (r *Request) Progress() Progress { return *r.progress.Load() }

// Set replaces the progress.
func (r *Request) Set(p Progress) { r.progress.Store(&p) }

// End removes the request. Further calls have no effect.
func (r *Request) End() { r.requests.remove(r) }

// Requests are the running requests of a host. The zero value is ready to use. It is safe for concurrent use.
type Requests struct {
	mutex   sync.Mutex
	running map[*Request]struct{}
	// idle is closed once no request runs; nil while nobody waits.
	idle chan struct{}
}

// Begin adds a request, whose body is read first.
func (s *Requests) Begin(id string, received time.Time) *Request {
	r := &Request{id: id, since: received, requests: s}
	r.Set(Progress{Stage: StageBody})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running == nil {
		s.running = map[*Request]struct{}{}
	}
	s.running[r] = struct{}{}
	return r
}

func (s *Requests) remove(r *Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, r)
	if len(s.running) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Running returns the number of running requests.
func (s *Requests) Running() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.running)
}

// Idle returns a channel that is closed once no request runs.
func (s *Requests) Idle() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	idle := s.idle
	if idle == nil {
		idle = make(chan struct{})
		if len(s.running) == 0 {
			close(idle)
			return idle
		}
		s.idle = idle
	}
	return idle
}

// Stages returns the number of running requests by what they wait for.
func (s *Requests) Stages() map[Stage]int {
	out := map[Stage]int{}
	for _, r := range s.oldest() {
		out[r.Progress().Stage]++
	}
	return out
}

// oldest returns the running requests, the oldest first.
func (s *Requests) oldest() []*Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make([]*Request, 0, len(s.running))
	for r := range s.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Request) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.id, b.id))
	})
	return out
}

// LogCut logs the requests that the end of the host cuts, a line each up to maxNamedRequests.
func (s *Requests) LogCut(log logrus.FieldLogger, now time.Time) {
	cut := s.oldest()
	for _, r := range cut[:min(len(cut), maxNamedRequests)] {
		p := r.Progress()
		fields := logrus.Fields{
			"request": r.id, "route": p.Route, "server": p.Server, "waitsFor": string(p.Stage), "millis": now.Sub(r.since).Milliseconds(),
		}
		if !p.Deadline.IsZero() {
			fields["leftMillis"] = p.Deadline.Sub(now).Milliseconds()
		}
		log.WithFields(fields).Warn("request cut by the end of this host")
	}
	if rest := len(cut) - maxNamedRequests; rest > 0 {
		log.WithField("requests", rest).Warn("more requests cut by the end of this host")
	}
}
