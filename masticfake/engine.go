package masticfake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Engine is a stand-in for a model engine. It is an http.Handler.
type Engine struct {
	name          string
	blockBytes    int
	capacity      int
	slots         *slots
	prefillRate   float64
	decodeRate    float64
	output        int
	checksFencing bool
	gapEvery      int
	eventDelay    time.Duration
	loadLag       time.Duration
	killer        string
	mux           *http.ServeMux

	mu            sync.Mutex
	mode          Mode
	models        map[string]string
	role          string
	restarts      int
	incarnation   string
	life          context.Context
	end           context.CancelFunc
	cache         *prefixCache
	events        []CacheEvent
	eventNext     uint64
	orders        []Order
	fenceTerm     uint64
	fenceSequence uint64
	report        LoadReport
	reportedAt    time.Time
	received      recent
	cancelled     int
	queuedTokens  int64
	onCrash       func()
}

// Option configures an Engine.
type Option func(*Engine)

// WithModel makes the engine serve model at a version of its weights.
func WithModel(model, weightsVersion string) Option {
	return func(e *Engine) { e.models[model] = weightsVersion }
}

// WithCache sets the cache's size in blocks, and that of a block in bytes.
func WithCache(blocks, blockBytes int) Option {
	return func(e *Engine) { e.capacity, e.blockBytes = blocks, blockBytes }
}

// WithSlots sets how many requests run at once.
func WithSlots(n int) Option { return func(e *Engine) { e.slots = newSlots(n) } }

// WithSpeed sets the prefill and decode speed in tokens per second; zero is without delay.
func WithSpeed(prefill, decode float64) Option {
	return func(e *Engine) { e.prefillRate, e.decodeRate = prefill, decode }
}

// WithOutput sets how many tokens an answer has when the request's limit is not smaller.
func WithOutput(n int) Option { return func(e *Engine) { e.output = n } }

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing() Option { return func(e *Engine) { e.checksFencing = true } }

// WithEventGaps drops every n-th cache event.
func WithEventGaps(n int) Option { return func(e *Engine) { e.gapEvery = n } }

// WithEventDelay holds cache events back.
func WithEventDelay(d time.Duration) Option { return func(e *Engine) { e.eventDelay = d } }

// WithLoadLag sets the age that a load report may have.
func WithLoadLag(d time.Duration) Option { return func(e *Engine) { e.loadLag = d } }

// WithKiller makes every request whose prompt contains text crash the engine.
func WithKiller(text string) Option { return func(e *Engine) { e.killer = text } }

// Sizes of an engine that is given no others.
const (
	defaultBlocks     = 256
	defaultBlockBytes = 256
	defaultSlots      = 64
	defaultOutput     = 32
)

// NewEngine returns an engine called name.
func NewEngine(name string, options ...Option) *Engine {
	e := &Engine{
		name:       name,
		capacity:   defaultBlocks,
		blockBytes: defaultBlockBytes,
		slots:      newSlots(defaultSlots),
		output:     defaultOutput,
		mode:       ModeNormal,
		models:     make(map[string]string),
		onCrash:    func() {},
	}
	for _, o := range options {
		o(e)
	}
	e.begin()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /events", e.serveEvents)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("POST /admin/load", e.serveOrder)
	e.mux.HandleFunc("POST /admin/role", e.serveOrder)
	return e
}

// begin starts an incarnation with an empty cache.
func (e *Engine) begin() {
	e.restarts++
	e.incarnation = fmt.Sprintf("%s-%d", e.name, e.restarts)
	e.life, e.end = context.WithCancel(context.Background())
	e.cache = newPrefixCache(e.capacity, e.addEvent)
	e.events, e.eventNext = nil, 0
	e.reportedAt = time.Time{}
}

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetMode makes the engine fail, or work again.
func (e *Engine) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// Crash drops all connections and comes back empty, with a new incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.end()
	e.begin()
	drop := e.onCrash
	e.mu.Unlock()
	drop()
}

// Incarnation returns the identifier of the present incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Received returns the latest model requests that reached the engine.
func (e *Engine) Received() []Received {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received.list()
}

// Cancelled returns how many requests were cancelled by the router.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}
