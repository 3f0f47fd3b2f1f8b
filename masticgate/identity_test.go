package masticgate

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticfake"
	"masticladder/masticview"
)

var update = flag.Bool("update", false, "write the golden files")

func withdrawn(v masticview.View) masticview.View {
	k, _ := v.Key("key-1")
	k.State = masticview.KeyWithdrawn
	return v.WithKey(k)
}

// TestErrorResponsesMatchGolden compares the error responses with testdata/errors.txt.
func TestErrorResponsesMatchGolden(t *testing.T) {
	b := newFixture(t)
	b.limits.MaxBodyBytes, b.limits.MaxJSONDepth = 4<<10, 8
	e, _ := b.addEngine("engine-1")
	b.start()
	var out strings.Builder
	call := func(name, body string, headers ...string) {
		r := b.send(http.MethodPost, "/v1/chat/completions", body, headers...)
		fmt.Fprintf(&out, "%s\n%d Retry-After=%q\n%s\n\n", name, r.status, r.header.Get("Retry-After"), r.body)
	}
	good := chatBody(false, "x")
	call("no key", good, "Authorization", "")
	call("other scheme", good, "Authorization", "Basic abc")
	call("unknown key", good, "Authorization", "Bearer nobody")
	call("other workspace's profile", good, HeaderProfile, "other")
	call("unknown profile", good, HeaderProfile, "none")
	call("unknown model", strings.Replace(good, testModel, "none", 1))
	call("other workspace's model", strings.Replace(good, testModel, "floor-1", 1))
	call("no JSON", "{")
	call("no object", "[]")
	call("null", "null")
	call("too deep", `{"a":`+strings.Repeat("[", 9)+strings.Repeat("]", 9)+"}")
	call("wrong type", `{"model":7}`)
	call("no messages", fmt.Sprintf(`{"model":%q}`, testModel))
	call("two choices", fmt.Sprintf(`{"model":%q,"n":2,"messages":[]}`, testModel))
	call("negative limit", fmt.Sprintf(`{"model":%q,"max_tokens":-1,"messages":[]}`, testModel))
	call("too large", strings.Repeat("x", 5<<10))
	call("key in the body", chatBody(false, testKey))
	b.limiter.refuse = masticerror.New(masticerror.KindRateLimited, "over the rate").WithRetryAfter(2500e6)
	call("rate", good)
	b.limiter.refuse = nil
	e.SetMode(masticfake.ModeRefuse)
	call("engine refuses", good)
	b.views.change(withdrawn)
	call("withdrawn key", good)
	b.views.endLease()
	call("no lease", good)
	b.gate.Drain()
	call("draining", good)
	const file = "testdata/errors.txt"
	if *update {
		b.c.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
		b.c.Assert(os.WriteFile(file, []byte(out.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(out.String(), qt.Equals, string(want))
	b.c.Assert(e.Received(), qt.HasLen, 1)
}

// TestNoDispatchIfKeyOrLeaseEndsWhileQueued checks that nothing is dispatched if the key is
// withdrawn or the lease ends while the request waits for a server.
func TestNoDispatchIfKeyOrLeaseEndsWhileQueued(t *testing.T) {
	for kind, end := range map[masticerror.Kind]func(*fakeViews){
		masticerror.KindUnauthenticated: func(f *fakeViews) { f.change(withdrawn) },
		masticerror.KindNoLease:         (*fakeViews).endLease,
	} {
		b := newFixture(t)
		e, _ := b.addEngine("engine-1")
		b.dispatcher.beforeAcquire = func() { end(b.views) }
		b.start()
		r, _ := b.stream("late")
		b.c.Assert(r.detail(b.c).Kind, qt.Equals, kind)
		b.c.Assert(r.detail(b.c).NotRun, qt.IsTrue)
		b.c.Assert(e.Received(), qt.HasLen, 0)
	}
}

// TestNoResumeForWithdrawnKey checks that a broken stream is not resumed if its key was withdrawn
// in the meantime.
func TestNoResumeForWithdrawnKey(t *testing.T) {
	b := newFixture(t)
	bad, _ := b.addEngine("engine-1")
	bad.SetMode(masticfake.ModeCut)
	second, _ := b.addEngine("engine-2")
	calls := 0
	b.dispatcher.beforeAcquire = func() {
		if calls++; calls == 2 {
			b.views.change(withdrawn)
		}
	}
	b.start()
	_, s := b.stream("late")
	b.c.Assert(s.ended, qt.IsFalse)
	b.c.Assert(s.err.Kind, qt.Equals, masticerror.KindUnauthenticated)
	b.c.Assert(s.err.NotRun, qt.IsFalse)
	b.c.Assert(second.Received(), qt.HasLen, 0)
}

// openStream starts a stream and returns its response after the first byte.
func (b *fixture) openStream(ctx context.Context) *http.Response {
	a, err := b.server.Client().Do(b.request(ctx, http.MethodPost, "/v1/chat/completions", chatBody(true, "long review")))
	b.c.Assert(err, qt.IsNil)
	b.t.Cleanup(func() { _ = a.Body.Close() })
	_, err = io.ReadFull(a.Body, make([]byte, 1))
	b.c.Assert(err, qt.IsNil)
	return a
}

// TestWithdrawnKeyEndsRunningStream checks that a running stream ends with an error event when
// its key is withdrawn, also while the engine sends nothing.
func TestWithdrawnKeyEndsRunningStream(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	e, _ := b.addEngine("engine-1")
	e.SetMode(masticfake.ModeStall)
	b.client.NextEventTimeoutMillis = 600_000
	b.start()
	a := b.openStream(context.Background())
	b.views.change(withdrawn)
	rest, err := io.ReadAll(a.Body)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(string(rest), qt.Contains, `"kind":"unauthenticated"`)
	b.c.Assert(string(rest), qt.Not(qt.Contains), "[DONE]")
	b.eventually(func() bool { return e.Cancelled() == 1 })
}

func TestEndedLeaseRefusesKeyedRequests(t *testing.T) {
	b := newFixture(t)
	b.addEngine("engine-1")
	b.addService(masticview.Service{Name: "hours", Open: true, Idempotent: true}, masticfake.NewService("hours"))
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, masticfake.NewService("lookups"))
	b.start()
	b.views.endLease()
	r, _ := b.stream("x")
	b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindNoLease)
	b.c.Assert(r.detail(b.c).Addresses, qt.HasLen, 1)
	b.c.Assert(b.send(http.MethodGet, "/services/lookups/a", "").status, qt.Equals, http.StatusServiceUnavailable)
	b.c.Assert(b.send(http.MethodGet, "/services/hours/a", "").status, qt.Equals, http.StatusOK)
	b.c.Assert(b.send(http.MethodGet, "/services/hours/a", "", "Authorization", "").status, qt.Equals, http.StatusOK)
	b.c.Assert(b.send(http.MethodGet, "/v1/addresses", "").status, qt.Equals, http.StatusOK)
}

// garbledServer responds with text that is not HTTP.
type garbledServer struct{}

func (garbledServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = c.Write([]byte("promptsecret\r\n\r\n"))
	_ = c.Close()
}

// TestSecretsAreNeitherLoggedNorForwarded sends a key, a prompt and a caller's header. None of
// them may be in the log, and neither the key nor the header in requests to backend servers.
func TestSecretsAreNeitherLoggedNorForwarded(t *testing.T) {
	b := newFixture(t)
	bad, _ := b.addEngine("engine-1")
	bad.SetMode(masticfake.ModeCut)
	good, _ := b.addEngine("engine-2")
	lookups, orders := masticfake.NewService("lookups"), masticfake.NewService("orders")
	orders.SetMode(masticfake.ModeCut)
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, lookups)
	b.addOrders(orders)
	b.start()
	headers := []string{"X-Caller-Secret", "callersecret", "Cookie", "callersecret"}
	b.stream("promptsecret", headers...)
	b.send(http.MethodPost, "/v1/chat/completions", `{"promptsecret`, headers...)
	b.send(http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody(false, "x"), testModel, "promptsecret", 1))
	b.send(http.MethodPost, "/services/lookups/promptsecret", "promptsecret", headers...)
	b.send(http.MethodPost, "/services/promptsecret/a", "promptsecret", headers...)
	b.order("promptsecret", append(headers, HeaderIdempotencyKey, "k1")...)
	b.c.Assert(b.send(http.MethodGet, "/services/lookups/a?key="+testKey, "").status, qt.Equals, http.StatusBadRequest)
	b.c.Assert(b.order("a", HeaderIdempotencyKey, testKey).status, qt.Equals, http.StatusBadRequest)
	seen, err := json.Marshal([][]masticfake.Received{bad.Received(), good.Received(), lookups.Received(), orders.Received()})
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(len(seen) > 500, qt.IsTrue)
	for _, s := range []string{testKey, "callersecret"} {
		b.c.Assert(string(seen), qt.Not(qt.Contains), s)
	}
	garbled := b.serve(garbledServer{})
	b.views.change(func(v masticview.View) masticview.View {
		return v.WithServer(masticview.Server{Name: "garbled", Kind: masticview.ServerService, URL: garbled.URL()}).
			WithService(masticview.Service{Name: "lookups", Servers: []string{"garbled"}, Idempotent: true})
	})
	r := b.send(http.MethodGet, "/services/lookups/a", "")
	b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindBackendFailed)
	b.c.Assert(string(r.body), qt.Not(qt.Contains), "promptsecret")
	b.c.Assert(strings.Count(b.log.String(), "\n"), qt.Equals, 9)
	for _, s := range []string{testKey, "callersecret", "promptsecret", "127."} {
		b.c.Assert(b.log.String(), qt.Not(qt.Contains), s)
	}
}

func TestAddressesModelsAndHealth(t *testing.T) {
	b := newFixture(t)
	b.start()
	r := b.send(http.MethodGet, "/v1/addresses", "")
	b.c.Assert(string(r.body), qt.Contains, `{"addresses":[{"address":"127.0.0.9:80","zone":"zone-association","weight":1}],"validUntil":"`)
	r = b.send(http.MethodGet, "/v1/models", "")
	b.c.Assert(string(r.body), qt.Equals, `{"object":"list","data":[{"id":"saw-1","object":"model"}]}`)
	b.c.Assert(b.send(http.MethodGet, "/v1/models", "", "Authorization", "").status, qt.Equals, http.StatusUnauthorized)
	b.c.Assert(b.send(http.MethodGet, "/healthz", "").status, qt.Equals, http.StatusOK)
	b.gate.Drain()
	b.c.Assert(b.send(http.MethodGet, "/healthz", "").status, qt.Equals, http.StatusServiceUnavailable)
	b.c.Assert(b.send(http.MethodGet, "/none", "").status, qt.Equals, http.StatusNotFound)
}
