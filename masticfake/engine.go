package masticfake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Engine is a fake model engine. It is an http.Handler.
type Engine struct {
	name               string
	blockBytes         int
	capacity           int
	slots              *slots
	prefillRate        float64
	decodeRate         float64
	maxOutputTokens    int
	checksFencing      bool
	dropEvery          int
	eventDelay         time.Duration
	loadReportInterval time.Duration
	poisonText         string
	mux                *http.ServeMux

	mu             sync.Mutex
	mode           Mode
	models         map[string]string
	role           string
	restarts       int
	incarnation    string
	incarnationCtx context.Context
	endIncarnation context.CancelFunc
	cache          *prefixCache
	events         []CacheEvent
	eventNext      uint64
	orders         []Order
	fenceTerm      uint64
	fenceSequence  uint64
	report         LoadReport
	reportedAt     time.Time
	received       receivedLog
	cancelled      int
	queuedTokens   int64
	onCrash        func()
}

// Option configures an Engine.
type Option func(*Engine)

// WithModel makes the engine serve model with a version of its weights.
func WithModel(model, weightsVersion string) Option {
	return func(e *Engine) { e.models[model] = weightsVersion }
}

// WithCache sets the size of the prefix cache in blocks and the size of a block in bytes.
func WithCache(blocks, blockBytes int) Option {
	return func(e *Engine) { e.capacity, e.blockBytes = blocks, blockBytes }
}

// WithSlots sets how many requests can run concurrently.
func WithSlots(n int) Option { return func(e *Engine) { e.slots = newSlots(n) } }

// WithSpeed sets the prefill and decode speeds in tokens per second; zero means no delay.
func WithSpeed(prefill, decode float64) Option {
	return func(e *Engine) { e.prefillRate, e.decodeRate = prefill, decode }
}

// WithOutput sets the number of output tokens of requests that state no smaller limit.
func WithOutput(n int) Option { return func(e *Engine) { e.maxOutputTokens = n } }

// WithFencing makes the engine refuse orders with an outdated fencing token.
func WithFencing() Option { return func(e *Engine) { e.checksFencing = true } }

// WithEventGaps drops every n-th cache event.
func WithEventGaps(n int) Option { return func(e *Engine) { e.dropEvery = n } }

// WithEventDelay delays cache events by d.
func WithEventDelay(d time.Duration) Option { return func(e *Engine) { e.eventDelay = d } }

// WithLoadReportInterval sets the time for which the engine repeats a load report before it makes a
// new one.
func WithLoadReportInterval(d time.Duration) Option {
	return func(e *Engine) { e.loadReportInterval = d }
}

// WithKiller makes the engine crash on every request whose prompt contains text.
func WithKiller(text string) Option { return func(e *Engine) { e.poisonText = text } }

// Defaults of the options.
const (
	defaultCacheBlocks  = 256
	defaultBlockBytes   = 256
	defaultSlots        = 64
	defaultOutputTokens = 32
)

// NewEngine returns an engine with the given name.
func NewEngine(name string, options ...Option) *Engine {
	e := &Engine{
		name:            name,
		capacity:        defaultCacheBlocks,
		blockBytes:      defaultBlockBytes,
		slots:           newSlots(defaultSlots),
		maxOutputTokens: defaultOutputTokens,
		mode:            ModeNormal,
		models:          make(map[string]string),
		onCrash:         func() {},
	}
	for _, o := range options {
		o(e)
	}
	e.startIncarnation()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /events", e.serveEvents)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("POST /admin/load", e.serveOrder)
	e.mux.HandleFunc("POST /admin/role", e.serveOrder)
	return e
}

// startIncarnation starts a new incarnation with an empty cache.
func (e *Engine) startIncarnation() {
	e.restarts++
	e.incarnation = fmt.Sprintf("%s-%d", e.name, e.restarts)
	e.incarnationCtx, e.endIncarnation = context.WithCancel(context.Background())
	e.cache = newPrefixCache(e.capacity, e.addEvent)
	e.events, e.eventNext = nil, 0
	e.reportedAt = time.Time{}
}

// ServeHTTP serves one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetMode sets the fault that the engine simulates.
func (e *Engine) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// Crash drops all connections and starts a new incarnation with an empty cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.endIncarnation()
	e.startIncarnation()
	drop := e.onCrash
	e.mu.Unlock()
	drop()
}

// Incarnation returns the identifier of the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Received returns the latest model requests that the engine received.
func (e *Engine) Received() []Received {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received.list()
}

// Cancelled returns how many requests the router cancelled.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}
