package masticgate

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/masticerror"
)

// Gate is the http.Handler towards callers.
type Gate struct {
	views      masticcall.Views
	limiter    masticcall.Limiter
	ledger     masticcall.Ledger
	usage      masticcall.Usage
	suspects   masticcall.Suspects
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
	bodies     budget
}

// New returns a gate. It is an error to leave out what it calls.
func New(options ...Option) (*Gate, error) {
	g := &Gate{log: logrus.StandardLogger(), now: time.Now, limits: DefaultLimits()}
	for _, o := range options {
		o(g)
	}
	if g.views == nil || g.limiter == nil || g.ledger == nil || g.usage == nil ||
		g.suspects == nil || g.dispatcher == nil || g.addresses == nil || g.engine == nil {
		return nil, eris.New("gate: a part that it calls is missing")
	}
	g.engine.SetEnded(g.suspects.Report)
	g.bodies.limit = g.limits.MaxBodiesBytes
	g.mux = g.routes()
	return g, nil
}

func (g *Gate) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.Handle("GET /healthz", g.handler(g.serveHealth))
	m.Handle("GET /v1/addresses", g.handler(g.serveAddresses))
	m.Handle("GET /v1/models", g.handler(g.serveModels))
	m.Handle("POST /v1/chat/completions", g.work(g.serveChat))
	m.Handle("POST /v1/completions", g.work(g.serveCompletion))
	m.Handle("/services/{name}", g.work(g.serveService))
	m.Handle("/services/{name}/{rest...}", g.work(g.serveService))
	m.Handle("/", g.handler(g.serveNotFound))
	return m
}

// ServeHTTP answers one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// NewServer returns an HTTP server for this gate with its limits set.
func (g *Gate) NewServer() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: millis(g.limits.HeaderMillis),
		IdleTimeout:       millis(g.limits.IdleMillis),
		MaxHeaderBytes:    g.limits.MaxHeaderBytes,
	}
}

// handler serves a path that is answered also while the host is shutting down.
func (g *Gate) handler(serve func(*inbound)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(g.newInbound(w, r))
	})
}

// work serves a path that counts as work: it is refused once the host is told to
// drain, and a drain waits for it.
func (g *Gate) work(serve func(*inbound)) http.Handler {
	return g.handler(func(q *inbound) {
		defer q.finish()
		q.boundBody()
		if !g.drain.enter() {
			q.refuse(masticerror.New(masticerror.KindDraining, "this host is shutting down"))
			return
		}
		defer g.drain.leave()
		serve(q)
	})
}

func (g *Gate) serveNotFound(q *inbound) {
	q.refuse(masticerror.New(masticerror.KindNotFound, "there is no such path"))
}
