package masticgate

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"masticladder/masticbody"
	"masticladder/masticcall"
	"masticladder/masticcaller"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/masticretry"
)

// Gate is the http.Handler that serves callers.
type Gate struct {
	views      masticcall.Views
	limiter    masticcall.Limiter
	ledger     masticcall.Ledger
	usage      masticcall.Usage
	suspects   masticcall.SuspectReporter
	holds      masticcall.Holds
	dispatcher masticcall.Dispatcher
	addresses  masticcall.Addresses
	engine     *masticengine.Client
	log        *logrus.Logger
	now        func() time.Time
	hostName   string
	limits     Limits
	mux        *http.ServeMux
	drain      drainState
	bodyBudget *masticbody.Budget
	retries    serviceRetries
}

// New returns a gate. It returns an error if a required dependency is not set.
func New(options ...Option) (*Gate, error) {
	g := &Gate{log: logrus.StandardLogger(), now: time.Now, limits: DefaultLimits(), retries: serviceRetries{budget: masticretry.NewBudget()}}
	for _, o := range options {
		o(g)
	}
	if g.views == nil || g.limiter == nil || g.ledger == nil || g.usage == nil ||
		g.suspects == nil || g.dispatcher == nil || g.addresses == nil || g.engine == nil {
		return nil, eris.New("gate: a required dependency is not set")
	}
	g.engine.SetServerEnded(g.suspects.Report)
	g.bodyBudget = masticbody.NewBudget(g.limits.MaxBodiesBytes)
	g.mux = g.routes()
	return g, nil
}

func (g *Gate) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.Handle("GET /healthz", g.handler(g.serveHealth))
	m.Handle("GET /v1/addresses", g.handler(g.serveAddresses))
	m.Handle("GET /v1/models", g.handler(g.serveModels))
	m.Handle("POST /v1/chat/completions", g.drainable(g.serveChat))
	m.Handle("POST /v1/completions", g.drainable(g.serveCompletion))
	m.Handle("/services/{name}", g.drainable(g.serveService))
	m.Handle("/services/{name}/{rest...}", g.drainable(g.serveService))
	m.Handle("/", g.handler(g.serveNotFound))
	return m
}

// ServeHTTP serves one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// NewServer returns an HTTP server for this gate, with the gate's limits.
func (g *Gate) NewServer() *http.Server {
	return &http.Server{
		Handler:           g,
		ConnContext:       masticcaller.WithConnection,
		ReadHeaderTimeout: millis(g.limits.HeaderMillis),
		IdleTimeout:       millis(g.limits.IdleMillis),
		MaxHeaderBytes:    g.limits.MaxHeaderBytes,
	}
}

// handler returns a handler for a path that is also served while the host is draining.
func (g *Gate) handler(serve func(*inbound)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(g.newInbound(w, r))
	})
}

// drainable returns a handler for a path that is refused while the host is draining, and whose
// running requests Wait waits for.
func (g *Gate) drainable(serve func(*inbound)) http.Handler {
	return g.handler(func(q *inbound) {
		if q.running = g.drain.enter(q.id, q.started); q.running != nil {
			defer q.running.End()
		}
		defer q.finish()
		q.setBodyDeadline()
		if q.running == nil {
			q.refuse(masticerror.New(masticerror.KindDraining, "this host is shutting down"))
			return
		}
		serve(q)
	})
}

func (g *Gate) serveNotFound(q *inbound) {
	q.refuse(masticerror.New(masticerror.KindNotFound, "there is no such path"))
}
