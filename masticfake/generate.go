package masticfake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"masticladder/masticstream"
)

// Header fields between the router and backend servers.
const (
	headerRequestID   = "X-Request-Id"
	headerResumeFrom  = "X-Resume-From"
	headerPriority    = "X-Priority"
	headerCacheSalt   = "X-Cache-Salt"
	headerIncarnation = "X-Server-Incarnation"
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// modelRequest is a request of the chat or text completion API.
type modelRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// generation is a request in progress.
type generation struct {
	engine       *Engine
	writer       http.ResponseWriter
	ctx          context.Context
	request      modelRequest
	id           string
	chat         bool
	mode         Mode
	incarnation  string
	firstEvent   int
	outputTokens int
	promptTokens int
	cachedTokens int
	seed         uint64
	onPrefilled  func()
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) }

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) }

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	g := &generation{engine: e, writer: w, chat: chat, id: r.Header.Get(headerRequestID)}
	if json.Unmarshal(body, &g.request) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if !chat {
		g.request.Messages = []Message{{Role: "prompt", Content: g.request.Prompt}}
	}
	g.firstEvent, _ = strconv.Atoi(r.Header.Get(headerResumeFrom))
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	if !e.hasModel(g.request.Model) {
		w.Header().Set(headerRequestID, g.id)
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	incarnationCtx := e.accept(g, r, body)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(incarnationCtx, cancel)
	defer stop()
	g.ctx = ctx
	g.run(incarnationCtx, priority)
}

// hasModel reports whether the model is loaded. An engine without configured models serves any
// model.
func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.models[model]
	return ok || len(e.models) == 0
}

// accept records the request, looks up its prompt in the cache, and returns the context of the
// current incarnation.
func (e *Engine) accept(g *generation, r *http.Request, body []byte) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received.add(r, body)
	g.mode, g.incarnation = e.mode, e.incarnation
	text := g.promptText()
	weights := e.models[g.request.Model]
	chain := blockHashes(r.Header.Get(headerCacheSalt), g.request.Model, weights, text, e.blockBytes)
	g.promptTokens = (len(text) + bytesPerToken - 1) / bytesPerToken
	g.cachedTokens = e.cache.lookUpAndStore(chain) * e.blockBytes / bytesPerToken
	g.outputTokens = e.maxOutputTokens
	if g.request.MaxTokens > 0 {
		g.outputTokens = min(g.outputTokens, g.request.MaxTokens)
	}
	g.seed = seedOf(g.request.Model, g.request.Messages)
	return e.incarnationCtx
}

func (g *generation) promptText() string {
	var b strings.Builder
	for _, m := range g.request.Messages {
		b.WriteString(m.Role)
		b.WriteByte(0)
		b.WriteString(m.Content)
	}
	return b.String()
}

func (g *generation) run(incarnationCtx context.Context, priority int) {
	e := g.engine
	if e.poisonText != "" && strings.Contains(g.promptText(), e.poisonText) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	uncached := int64(max(0, g.promptTokens-g.cachedTokens))
	e.addQueuedTokens(uncached)
	defer func() { e.addQueuedTokens(-uncached) }()
	g.onPrefilled = func() {
		e.addQueuedTokens(-uncached)
		uncached = 0
	}
	err := e.slots.acquire(g.ctx, priority)
	if err == nil {
		defer e.slots.release()
		err = g.respond()
	}
	if incarnationCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		e.mu.Lock()
		e.cancelled++
		e.mu.Unlock()
	}
}

func (g *generation) respond() error {
	h := g.writer.Header()
	h.Set(headerRequestID, g.id)
	h.Set(headerIncarnation, g.incarnation)
	switch g.mode {
	case ModeHang:
		<-g.ctx.Done()
		return g.ctx.Err()
	case ModeRefuse:
		http.Error(g.writer, "busy", http.StatusServiceUnavailable)
		return nil
	case ModeCrossed:
		h.Set(headerRequestID, g.id+"-other")
	}
	if g.request.Stream {
		return g.respondStream()
	}
	return g.respondWhole()
}

func (e *Engine) addQueuedTokens(tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedTokens += tokens
}

func (g *generation) prefill() error {
	defer g.onPrefilled()
	return waitForTokens(g.ctx, float64(g.promptTokens-g.cachedTokens), g.engine.prefillRate)
}

func waitForTokens(ctx context.Context, tokens, rate float64) error {
	if rate <= 0 || tokens <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(time.Duration(tokens / rate * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *generation) respondWhole() error {
	if err := g.prefill(); err != nil {
		return err
	}
	if err := waitForTokens(g.ctx, float64(g.outputTokens), g.engine.decodeRate); err != nil {
		return err
	}
	var b strings.Builder
	for i := range g.outputTokens {
		b.WriteString(tokenOf(g.seed, i))
	}
	body := g.wholeResponse(b.String())
	g.writer.Header().Set("Content-Type", "application/json")
	switch g.mode {
	case ModeHalf:
		_, err := g.writer.Write(body[:len(body)/2])
		return err
	case ModeCut:
		g.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = g.writer.Write(body[:len(body)/2])
		_ = http.NewResponseController(g.writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := g.writer.Write(body)
	return err
}

func (g *generation) respondStream() error {
	g.writer.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(g.writer)
	if err := c.Flush(); err != nil {
		return err
	}
	if err := g.prefill(); err != nil {
		return err
	}
	events := g.events()
	for i := g.firstEvent; i < len(events); i++ {
		if i < g.outputTokens {
			if err := waitForTokens(g.ctx, 1, g.engine.decodeRate); err != nil {
				return err
			}
		}
		if done, err := g.injectFault(c, i); done {
			return err
		}
		if err := g.sendEvent(i, events[i]); err != nil {
			return err
		}
		if g.engine.decodeRate > 0 {
			_ = c.Flush()
		}
	}
	return nil
}

// injectFault simulates the mode's fault halfway through a stream, and reports whether the stream
// has ended.
func (g *generation) injectFault(c *http.ResponseController, i int) (bool, error) {
	if i != g.outputTokens/2 {
		return false, nil
	}
	switch g.mode {
	case ModeHalf:
		return true, nil
	case ModeCut:
		_ = c.Flush()
		panic(http.ErrAbortHandler)
	case ModeStall:
		_ = c.Flush()
		<-g.ctx.Done()
		return true, g.ctx.Err()
	case ModeCrossedEvents:
		_, _ = g.writer.Write(masticstream.AppendEvent(nil, g.id+"-other", uint64(i), []byte(`{"other":true}`)))
	}
	return false, nil
}

func (g *generation) sendEvent(i int, data []byte) error {
	if g.mode == ModeGap && i == g.outputTokens/2 {
		return nil
	}
	b := masticstream.AppendEvent(nil, g.id, uint64(i), data)
	if g.mode == ModeRepeat {
		b = append(b, b...)
	}
	_, err := g.writer.Write(b)
	return err
}
