// Package masticadmin contains the server and the client of the operators' API, which is JSON over
// HTTP.
package masticadmin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protojson"

	"masticladder/masticbody"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticjson"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Bounds of a change, and estimates of what it takes once decoded. maxDecodedBytes bounds all changes that are decoded at the
// same time; the largest one takes 24 MiB.
const (
	maxObjects      = 1 << 15
	maxValues       = 1 << 17
	objectBytes     = 512
	valueBytes      = 64
	maxDecodedBytes = 32 << 20
	// maxBodiesBytes bounds the changes that arrive at the same time, and the copy of a complete one.
	maxBodiesBytes = 24 << 20
)

// MaxBodyBytes is the maximum size of the body of an operator's request.
const MaxBodyBytes = 4 << 20

// Server is the http.Handler of the operators' API.
type Server struct {
	operator masticcall.Operator
	views    masticcall.Views
	rollouts Rollouts
	registry metrics.Registry
	digests  map[masticview.Digest]bool
	mux      *http.ServeMux
	// decoded bounds the memory of all changes that are decoded.
	decoded *masticbody.Budget
	// bodies bounds the changes that arrive.
	bodies *masticbody.Budget
}

// Option configures a Server.
type Option func(*Server)

// WithOperator sets the interface that executes operators' requests.
func WithOperator(o masticcall.Operator) Option { return func(s *Server) { s.operator = o } }

// WithViews sets the source of the current view.
func WithViews(v masticcall.Views) Option { return func(s *Server) { s.views = v } }

// WithRegistry sets the metrics to serve.
func WithRegistry(r metrics.Registry) Option { return func(s *Server) { s.registry = r } }

// WithOperatorKeys adds digests of operators' keys. Without any, no key is required.
func WithOperatorKeys(digests ...masticview.Digest) Option {
	return func(s *Server) {
		for _, d := range digests {
			s.digests[d] = true
		}
	}
}

// New returns a Server. Without options it serves an empty registry and requires no key.
func New(options ...Option) *Server {
	s := &Server{digests: map[masticview.Digest]bool{}, mux: http.NewServeMux(), registry: metrics.NewRegistry(), decoded: masticbody.NewBudget(maxDecodedBytes), bodies: masticbody.NewBudget(maxBodiesBytes)}
	for _, o := range options {
		o(s)
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.Handle("GET /metrics", Metrics(s.registry))
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("GET /v1/usage", s.usage)
	s.mux.HandleFunc("POST /v1/publish", s.publish)
	s.mux.HandleFunc("GET /v1/view", s.view)
	s.mux.HandleFunc("POST /v1/keys/{id}/withdraw", s.withdrawKey)
	s.mux.HandleFunc("POST /v1/hosts/{name}/retire", s.retireHost)
	s.mux.HandleFunc("POST /v1/servers/{name}/retire", s.retireServer)
	s.mux.HandleFunc("POST /v1/rollouts", s.orderRollout)
	s.mux.HandleFunc("GET /v1/rollouts/{service}", s.getRollout)
	s.mux.HandleFunc("POST /v1/members/{host}", s.putMember)
	s.mux.HandleFunc("DELETE /v1/members/{host}", s.removeMember)
}

// ServeHTTP checks the operator's key and serves the request. Health checks need no key.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/healthz" && !s.authorized(r) {
		writeError(w, masticerror.New(masticerror.KindUnauthenticated, "an operator's key is needed"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) authorized(r *http.Request) bool {
	if len(s.digests) == 0 {
		return true
	}
	const prefix = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) <= len(prefix) || h[:len(prefix)] != prefix {
		return false
	}
	return s.digests[masticview.DigestOf([]byte(h[len(prefix):]))]
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	status, err := s.operator.Status(r.Context())
	writeResult(w, status, err)
}

func (s *Server) usage(w http.ResponseWriter, r *http.Request) {
	totals, err := s.operator.Usage(r.Context())
	writeResult(w, totals, err)
}

func (s *Server) view(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, newViewDocument(s.views.View()), nil)
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	body, memory := s.bodies.Reader(r.Body), s.decoded.Reserve()
	defer body.Release()
	defer memory.Release()
	p, err := readPublish(body, r.ContentLength, memory)
	if err != nil {
		writeError(w, err)
		return
	}
	s.publishChange(w, r, p)
}

// readPublish reads a change. What it becomes once decoded is counted in memory.
func readPublish(body *masticbody.Reader, length int64, memory *masticbody.Reservation) (*masticproto.Publish, error) {
	b, err := body.ReadAll(length, 0)
	if err != nil {
		return nil, bodyError(err)
	}
	objects, values := masticjson.Count(b)
	if objects > maxObjects || values > maxValues {
		return nil, masticerror.New(masticerror.KindBadRequest, "the change has over %d objects or %d values", maxObjects, maxValues)
	}
	if !memory.Resize(int64(objects)*objectBytes + int64(values)*valueBytes) {
		return nil, masticerror.New(masticerror.KindOverloaded, "this host reads as many changes as it may")
	}
	p := &masticproto.Publish{}
	if err := protojson.Unmarshal(b, p); err != nil {
		return nil, masticerror.New(masticerror.KindBadRequest, "the change cannot be read: %v", err)
	}
	if p.RequestId == "" || p.Change == nil {
		return nil, masticerror.New(masticerror.KindBadRequest, "requestId and change are needed")
	}
	if len(p.Change.Quarantines) > 0 {
		return nil, masticerror.New(masticerror.KindBadRequest, "quarantines are not published")
	}
	if len(p.Change.Rollouts) > 0 {
		return nil, masticerror.New(masticerror.KindBadRequest, "rollouts are ordered, not published")
	}
	return p, nil
}

// maxSmallBytes is the maximum size of the body of a request other than a change. Names have 256 bytes at most.
const maxSmallBytes = 16 << 10

// readSmall decodes the body of a request other than a change.
func (s *Server) readSmall(w http.ResponseWriter, r *http.Request, into any) error {
	body := s.bodies.Reader(http.MaxBytesReader(w, r.Body, maxSmallBytes))
	defer body.Release()
	b, err := body.ReadAll(r.ContentLength, 0)
	if err != nil {
		return bodyError(err)
	}
	if err := json.Unmarshal(b, into); err != nil {
		return masticerror.New(masticerror.KindBadRequest, "the request cannot be read: %v", err)
	}
	return nil
}

func bodyError(err error) error {
	if errors.Is(err, masticbody.ErrBudget) {
		return masticerror.New(masticerror.KindOverloaded, "this host holds as many requests as it may")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return masticerror.New(masticerror.KindBodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	return masticerror.Wrap(err, masticerror.KindBadRequest, "the body cannot be read")
}

func (s *Server) publishChange(w http.ResponseWriter, r *http.Request, p *masticproto.Publish) {
	published, err := s.operator.Publish(r.Context(), p.RequestId, p.BaseRevision, p.Change)
	writeResult(w, published, err)
}

func (s *Server) putMember(w http.ResponseWriter, r *http.Request) {
	var m memberRequest
	if err := s.readSmall(w, r, &m); err != nil {
		writeError(w, err)
		return
	}
	host := r.PathValue("host")
	member := &masticproto.Member{Id: host, Voter: m.Voter, Address: m.Peer}
	writeResult(w, doneResponse{true}, s.operator.ChangeMember(r.Context(), host, member))
}

func (s *Server) removeMember(w http.ResponseWriter, r *http.Request) {
	writeResult(w, doneResponse{true}, s.operator.ChangeMember(r.Context(), r.PathValue("host"), nil))
}

type memberRequest struct {
	Peer  string `json:"peer"`
	Voter bool   `json:"voter"`
}

type doneResponse struct {
	Done bool `json:"done"`
}

// requestID returns the request ID set by the client, by which a retried request is recognized.
func requestID(r *http.Request) string {
	return r.Header.Get("Mastic-Request-Id")
}
