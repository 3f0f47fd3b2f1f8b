package masticgate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/masticfake"
	"masticladder/masticstream"
	"masticladder/masticview"
)

const (
	testKey   = "secret-key-of-the-association-0001"
	testModel = "saw-1"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.String()
}

// fixture is a gate with fake dependencies.
type fixture struct {
	t          testing.TB
	c          *qt.C
	views      *fakeViews
	limiter    *fakeLimiter
	ledger     *fakeLedger
	usage      *fakeUsage
	suspects   *fakeSuspects
	dispatcher *fakeDispatcher
	engine     *masticengine.Client
	gate       *Gate
	server     *httptest.Server
	log        *logBuffer
	limits     Limits
	client     masticengine.Limits
}

// newFixture returns a fixture with default limits, which a test may change before start.
func newFixture(t testing.TB) *fixture {
	b := &fixture{
		t: t, c: qt.New(t),
		views:    &fakeViews{view: baseView()},
		limiter:  &fakeLimiter{},
		ledger:   &fakeLedger{orders: make(map[masticcall.OrderKey]*fakeOrder)},
		usage:    &fakeUsage{},
		suspects: &fakeSuspects{},
		log:      &logBuffer{},
		limits:   DefaultLimits(),
		client:   masticengine.DefaultLimits(),
	}
	b.dispatcher = &fakeDispatcher{views: b.views}
	return b
}

func baseView() masticview.View {
	return masticview.View{}.
		WithWorkspace(masticview.Workspace{Name: "association", Owner: "association", RateTokensPerSecond: 1000, BurstTokens: 1000, Weight: 1}).
		WithProfile(masticview.Profile{
			Name: "review", Workspace: "association", Models: []string{testModel},
			Services: []string{"orders", "lookups"}, Class: masticview.ClassLong, FirstTokenMillis: 1000, MaxOutputTokens: 64,
		}).
		WithProfile(masticview.Profile{Name: "other", Workspace: "glenmorven", Models: []string{"floor-1"}, MaxOutputTokens: 64}).
		WithKey(masticview.Key{
			ID: "key-1", Digest: masticview.DigestOf([]byte(testKey)), Workspace: "association",
			Profile: "review", State: masticview.KeyActive,
		})
}

func (b *fixture) start() *fixture {
	l := logrus.New()
	l.SetOutput(b.log)
	l.SetLevel(logrus.TraceLevel)
	b.engine = masticengine.New(masticengine.WithLimits(b.client))
	g, err := New(
		WithViews(b.views), WithLimiter(b.limiter), WithLedger(b.ledger), WithUsage(b.usage),
		WithSuspects(b.suspects), WithDispatcher(b.dispatcher), WithAddresses(fakeAddresses{}),
		WithEngine(b.engine), WithLog(l), WithHostName("host-1"), WithLimits(b.limits),
	)
	b.c.Assert(err, qt.IsNil)
	b.gate = g
	b.server = httptest.NewUnstartedServer(g)
	b.server.Config.ReadHeaderTimeout = g.NewServer().ReadHeaderTimeout
	b.server.Config.ConnContext = g.NewServer().ConnContext
	b.server.Config.MaxHeaderBytes = g.NewServer().MaxHeaderBytes
	b.server.Start()
	b.t.Cleanup(func() { b.c.Check(b.engine.AnswerBytes(), qt.Equals, int64(0)) })
	b.t.Cleanup(b.server.Close)
	b.t.Cleanup(b.engine.Close)
	return b
}

// serve starts a fake server and closes it at the end of the test.
func (b *fixture) serve(h http.Handler) *masticfake.Server {
	s, err := masticfake.Serve(h)
	b.c.Assert(err, qt.IsNil)
	b.t.Cleanup(s.Down)
	return s
}

// addEngine adds an engine to the view.
func (b *fixture) addEngine(name string, options ...masticfake.Option) (*masticfake.Engine, *masticfake.Server) {
	e := masticfake.NewEngine(name, append(options, masticfake.WithModel(testModel, "1"))...)
	s := b.serve(e)
	b.views.change(func(v masticview.View) masticview.View {
		return v.WithServer(masticview.Server{
			Name: name, Kind: masticview.ServerEngine, URL: s.URL(), Owner: "association", Models: []string{testModel},
		})
	})
	return e, s
}

// addService adds a service with one server for each handler.
func (b *fixture) addService(service masticview.Service, handlers ...http.Handler) []*masticfake.Server {
	var servers []*masticfake.Server
	for i, h := range handlers {
		s := b.serve(h)
		name := fmt.Sprintf("%s-%d", service.Name, i)
		service.Servers = append(service.Servers, name)
		servers = append(servers, s)
		b.views.change(func(v masticview.View) masticview.View {
			return v.WithServer(masticview.Server{Name: name, Kind: masticview.ServerService, URL: s.URL(), Owner: "glenmorven"})
		})
	}
	b.views.change(func(v masticview.View) masticview.View { return v.WithService(service) })
	return servers
}

// reply is a response as received by a caller.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r reply) detail(c *qt.C) ErrorDetail {
	var e ErrorBody
	c.Assert(json.Unmarshal(r.body, &e), qt.IsNil, qt.Commentf("%d %s", r.status, r.body))
	return e.Error
}

func (b *fixture) request(ctx context.Context, method, path, body string, headers ...string) *http.Request {
	q, err := http.NewRequestWithContext(ctx, method, b.server.URL+path, strings.NewReader(body))
	b.c.Assert(err, qt.IsNil)
	q.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	return q
}

func (b *fixture) send(method, path, body string, headers ...string) reply {
	a, err := b.server.Client().Do(b.request(context.Background(), method, path, body, headers...))
	b.c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	b.c.Assert(err, qt.IsNil)
	return reply{status: a.StatusCode, header: a.Header, body: data}
}

func chatBody(stream bool, text string) string {
	m, _ := json.Marshal([]masticfake.Message{{Role: "user", Content: text}})
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":%s}`, testModel, stream, m)
}

func expectedText(text string, n int) string {
	return masticfake.Text(testModel, []masticfake.Message{{Role: "user", Content: text}}, n)
}

// streamResult is a stream as read by a caller.
type streamResult struct {
	text  string
	ended bool
	err   *ErrorDetail
}

// chunk is the data of one event.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *ErrorDetail `json:"error"`
}

// readStream reads a complete stream and checks that its event numbers have no gap.
func readStream(c *qt.C, body []byte) (out streamResult) {
	d := masticstream.NewDecoder(len(body) + 1)
	d.Advance(copy(d.Space(), body[:min(len(body), 4<<10)]))
	rest := body[min(len(body), 4<<10):]
	var text strings.Builder
	defer func() { out.text = text.String() }()
	for next := uint64(0); ; {
		e, ok, err := d.Next()
		c.Assert(err, qt.IsNil)
		if !ok {
			n := copy(d.Space(), rest)
			if n == 0 {
				return out
			}
			d.Advance(n)
			rest = rest[n:]
			continue
		}
		c.Assert(out.ended, qt.IsFalse)
		if e.IsEnd() {
			out.ended = true
			continue
		}
		var k chunk
		c.Assert(json.Unmarshal(e.Data, &k), qt.IsNil)
		if k.Error != nil {
			out.err = k.Error
			continue
		}
		c.Assert(e.Number, qt.Equals, next)
		next++
		for _, choice := range k.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}

func (b *fixture) stream(text string, headers ...string) (reply, streamResult) {
	r := b.send(http.MethodPost, "/v1/chat/completions", chatBody(true, text), headers...)
	if r.status != http.StatusOK {
		return r, streamResult{}
	}
	return r, readStream(b.c, r.body)
}
