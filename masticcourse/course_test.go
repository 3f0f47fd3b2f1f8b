package masticcourse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// rawServer answers each request on a connection with the next scripted answer, as raw bytes.
type rawServer struct {
	listener net.Listener
	mutex    sync.Mutex
	answers  []string
	requests []*http.Request
	bodies   []string
	running  sync.WaitGroup
}

func newRawServer(c *qt.C, answers ...string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &rawServer{listener: l, answers: answers}
	s.running.Add(1)
	go s.run()
	c.Cleanup(func() {
		_ = l.Close()
		s.running.Wait()
	})
	return s
}

func (s *rawServer) run() {
	defer s.running.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		r := &rawConn{server: s, conn: conn}
		go r.run()
	}
}

type rawConn struct {
	server *rawServer
	conn   net.Conn
}

func (r *rawConn) run() {
	defer r.conn.Close()
	reader := bufio.NewReader(r.conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		answer, ok := r.server.next(q, string(body))
		if !ok {
			return
		}
		answer, cut := strings.CutSuffix(answer, "CUT")
		if _, err := io.WriteString(r.conn, strings.ReplaceAll(answer, "ID", q.Header.Get("Id"))); err != nil || cut {
			return
		}
	}
}

func (s *rawServer) next(q *http.Request, body string) (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests = append(s.requests, q)
	s.bodies = append(s.bodies, body)
	if len(s.answers) == 0 {
		return "", false
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a, true
}

func (s *rawServer) seen() []*http.Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*http.Request(nil), s.requests...)
}

// fakeDispatcher assigns the servers in turn and passes over those to avoid.
type fakeDispatcher struct {
	servers []masticview.Server
	asked   []masticcall.Request
	results []masticcall.Result
	// ended is closed when an attempt has ended, if it is set.
	ended chan struct{}
}

func (d *fakeDispatcher) Acquire(_ context.Context, r masticcall.Request) (masticcall.Assignment, error) {
	d.asked = append(d.asked, r)
	return d.assign(r.Avoid)
}

func (d *fakeDispatcher) AcquireService(_ context.Context, _ masticview.Service, avoid []string) (masticcall.Assignment, error) {
	return d.assign(avoid)
}

func (d *fakeDispatcher) assign(avoid []string) (masticcall.Assignment, error) {
	for _, s := range d.servers {
		if !strings.Contains(strings.Join(avoid, " "), s.Name) {
			return &fakeAssignment{dispatcher: d, server: s}, nil
		}
	}
	return nil, masticerror.New(masticerror.KindNoServer, "none left")
}

type fakeAssignment struct {
	dispatcher *fakeDispatcher
	server     masticview.Server
}

func (a *fakeAssignment) Server() masticview.Server { return a.server }
func (a *fakeAssignment) Priority() int             { return 0 }
func (a *fakeAssignment) CachedTokens() int64       { return 0 }
func (a *fakeAssignment) CacheSalt() string         { return "" }
func (a *fakeAssignment) Fetch() string             { return "" }
func (a *fakeAssignment) Save() string              { return "" }
func (a *fakeAssignment) FirstToken(time.Time)      {}

func (a *fakeAssignment) Done(_ time.Time, r masticcall.Result) {
	a.dispatcher.results = append(a.dispatcher.results, r)
	if a.dispatcher.ended != nil {
		close(a.dispatcher.ended)
	}
}

// fakeBackends is a small protocol of backend servers.
type fakeBackends struct{}

func (fakeBackends) Header(c *Call, a Attempt, _ time.Time) http.Header {
	h := c.Header.Clone()
	h.Set("Id", c.ID)
	h.Set("Workspace", a.Workspace)
	if a.LastEvent != "" {
		h.Set("Last-Event-Id", a.LastEvent)
	}
	return h
}
func (fakeBackends) NotRun(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }
func (fakeBackends) Replaced(status int) bool         { return status == http.StatusMisdirectedRequest }

func (fakeBackends) Proper(status int, h http.Header) bool {
	return status/100 != 2 || h.Get("Digest") != ""
}

type fakeCallers struct{}

func (fakeCallers) Refuse(w http.ResponseWriter, e *masticerror.Error) {
	w.Header().Set("Not-Run", fmt.Sprint(e.NotRun()))
	w.WriteHeader(e.Status())
}

// openLimiter admits everything and counts what it was given back.
type openLimiter struct{ returned int }

func (l *openLimiter) Admit(context.Context, string, int64) (masticcall.Admission, error) {
	return l, nil
}
func (l *openLimiter) Settle(int64) { l.returned++ }

const testKey = "secret"

func testView(c *qt.C, r masticdocument.Route) masticview.View {
	r.Name, r.Host, r.Prefix = "r", "host.example", "/a/"
	r.Targets = []masticdocument.Target{{Pool: "p", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 5 * time.Second
	}
	d := masticdocument.Document{
		Number: 1, Routes: []masticdocument.Route{r}, Pools: []masticdocument.Pool{{Name: "p"}},
		Tenants: []masticdocument.Tenant{{Name: "mill", Keys: []masticview.Digest{masticview.DigestOf([]byte(testKey))}, RateTokensPerSecond: 1000, BurstTokens: 1000}},
	}
	c.Assert(d.Check(), qt.IsNil)
	v, err := masticview.View{}.Apply(viewChange(d), time.Now())
	c.Assert(err, qt.IsNil)
	return v
}

// bench is a course with stand-ins on both sides.
type bench struct {
	course     *Course
	dispatcher *fakeDispatcher
	limiter    *openLimiter
	front      *httptest.Server
}

func newBench(c *qt.C, r masticdocument.Route, servers ...*rawServer) *bench {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &bench{dispatcher: &fakeDispatcher{}, limiter: &openLimiter{}}
	for i, s := range servers {
		b.dispatcher.servers = append(b.dispatcher.servers, masticview.Server{Name: fmt.Sprint("s", i), URL: "http://" + s.listener.Addr().String()})
	}
	b.course = New(WithLimiter(b.limiter), WithDispatcher(b.dispatcher), WithBackends(fakeBackends{}), WithCallers(fakeCallers{}), WithLog(log),
		WithClient(masticbackend.New(masticbackend.WithIdentify(func(h map[string][]string) string { return http.Header(h).Get("Id") }))))
	b.course.SetView(testView(c, r))
	b.front = httptest.NewServer(b)
	c.Cleanup(b.front.Close)
	return b
}

func (b *bench) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	b.course.Serve(r.Context(), w, &Call{
		ID: "q1", Method: r.Method, URI: r.RequestURI, Host: "host.example", Path: r.URL.Path, Header: http.Header{"Kept": {"yes"}},
		Body: body, Key: masticview.DigestOf([]byte(r.Header.Get("Key"))), HasKey: true, Received: now, Deadline: now.Add(5 * time.Second),
		LastEvent: r.Header.Get("Last-Event-Id"),
	})
}

// ask returns the status, the body, and whether the answer came whole.
func (b *bench) ask(c *qt.C, fields ...string) (status int, body string, whole bool) {
	q, err := http.NewRequest(http.MethodPost, b.front.URL+"/a/x?y=1", strings.NewReader("the body"))
	c.Assert(err, qt.IsNil)
	q.Header.Set("Key", testKey)
	for i := 0; i < len(fields); i += 2 {
		q.Header.Set(fields[i], fields[i+1])
	}
	a, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return 0, "", false
	}
	defer a.Body.Close()
	read, err := io.ReadAll(a.Body)
	return a.StatusCode, string(read), err == nil
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nId: ID\r\nDigest: d\r\n"
	okAnswer   = okHead + "Content-Length: 5\r\n\r\nwhole"
	streamHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	notRunHead = "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	failure    = "HTTP/1.1 500 Failed\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

var (
	once      = masticdocument.Route{Repeat: masticdocument.RepeatOnce, Attempts: 1}
	safe      = masticdocument.Route{Repeat: masticdocument.RepeatSafe, Attempts: 2}
	resumable = masticdocument.Route{Repeat: masticdocument.RepeatStream, Resumable: true, Attempts: 2}
	stream    = masticdocument.Route{Repeat: masticdocument.RepeatStream, Attempts: 1}
)

// TestCourse has the answers of two servers and what the caller gets.
func TestCourse(t *testing.T) {
	for _, x := range []struct {
		name          string
		route         masticdocument.Route
		first, second []string
		status        int
		body          string
		whole         bool
		// sends is how many requests the two servers got.
		sends [2]int
	}{
		{"whole answer", once, []string{okAnswer}, nil, 200, "whole", true, [2]int{1, 0}},
		{"not run goes to another server", once, []string{notRunHead}, []string{okAnswer}, 200, "whole", true, [2]int{1, 1}},
		{"not run anywhere is refused", once, []string{notRunHead}, []string{notRunHead}, 503, "", true, [2]int{1, 1}},
		{"once is not repeated after a reset", once, []string{"CUT"}, []string{okAnswer}, 502, "", true, [2]int{1, 0}},
		{"a failure of once is passed on", once, []string{failure}, []string{okAnswer}, 500, "", true, [2]int{1, 0}},
		{"safe goes to another server after a failure", safe, []string{failure}, []string{okAnswer}, 200, "whole", true, [2]int{1, 1}},
		{"the last failure of safe is passed on", safe, []string{failure}, []string{failure}, 500, "", true, [2]int{1, 1}},
		{"a success without digest is no answer", once, []string{"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nwhole"}, nil, 502, "", true, [2]int{1, 0}},
		{"bytes that are no answer", once, []string{"spoilt\r\n\r\nCUT"}, nil, 502, "", true, [2]int{1, 0}},
		{"a body cut short", once, []string{okHead + "Content-Length: 50\r\n\r\nwholeCUT"}, nil, 502, "", true, [2]int{1, 0}},
		{"an answer to another request is passed over", once, []string{"HTTP/1.1 200 OK\r\nId: other\r\nDigest: d\r\nContent-Length: 5\r\n\r\nother" + okAnswer}, nil, 200, "whole", true, [2]int{1, 0}},
		{"a stream", stream, []string{streamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"}, nil, 200, event(1) + event(2), true, [2]int{1, 0}},
		{
			"a stream that breaks is not whole", stream,
			[]string{streamHead + chunk(event(1)) + chunk("id: 2\nda") + "CUT"},
			nil, 200, event(1), false,
			[2]int{1, 0},
		},
		{
			"a resumable stream goes on at another server", resumable,
			[]string{streamHead + chunk(event(1)) + chunk("id: 2\nda") + "CUT"},
			[]string{streamHead + chunk(event(2)) + "0\r\n\r\n"},
			200, event(1) + event(2), true,
			[2]int{1, 1},
		},
		{
			"an end within an event is not an end", stream,
			[]string{streamHead + chunk(event(1)+"id: 2\nda") + "0\r\n\r\n"},
			nil, 200, event(1), false,
			[2]int{1, 0},
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			a, b := newRawServer(c, x.first...), newRawServer(c, x.second...)
			status, body, whole := newBench(c, x.route, a, b).ask(c)
			c.Assert(status, qt.Equals, x.status)
			c.Assert(whole, qt.Equals, x.whole)
			c.Assert(body, qt.Equals, x.body)
			c.Assert([2]int{len(a.seen()), len(b.seen())}, qt.Equals, x.sends)
		})
	}
}

// TestRequestIsPassedUnchanged: a backend server gets the caller's method, path, query and body.
func TestRequestIsPassedUnchanged(t *testing.T) {
	c := qt.New(t)
	s := newRawServer(c, okAnswer)
	newBench(c, once, s).ask(c)
	q := s.seen()[0]
	c.Assert(q.Method+" "+q.RequestURI, qt.Equals, "POST /a/x?y=1")
	c.Assert(s.bodies[0], qt.Equals, "the body")
	c.Assert(q.Header.Get("Kept"), qt.Equals, "yes")
	c.Assert(q.Header.Get("Workspace"), qt.Equals, "mill")
	c.Assert(q.Header.Get("Key"), qt.Equals, "")
}

// TestCallerResumesAtItsOwnEvent replays callers that go on after the host that served them
// was killed: the first attempt has to begin after the event that the caller has.
func TestCallerResumesAtItsOwnEvent(t *testing.T) {
	c := qt.New(t)
	s := newRawServer(c, streamHead+chunk(event(8))+"0\r\n\r\n")
	_, body, _ := newBench(c, resumable, s).ask(c, "Last-Event-Id", "7")
	c.Assert(body, qt.Equals, event(8))
	c.Assert(s.seen()[0].Header.Get("Last-Event-Id"), qt.Equals, "7")
}

// TestResumedAtTheLastWholeEvent: the part of an event that a broken stream left is not counted.
func TestResumedAtTheLastWholeEvent(t *testing.T) {
	c := qt.New(t)
	a := newRawServer(c, streamHead+chunk(event(1)+"id: 2\nda")+"CUT")
	b := newRawServer(c, streamHead+chunk(event(2))+"0\r\n\r\n")
	newBench(c, resumable, a, b).ask(c)
	c.Assert(b.seen()[0].Header.Get("Last-Event-Id"), qt.Equals, "1")
}

// TestRefusalsBeforeAServer has what is refused without a send, and that its quota is given back.
func TestRefusalsBeforeAServer(t *testing.T) {
	c := qt.New(t)
	s := newRawServer(c)
	b := newBench(c, once, s)
	status, _, _ := b.ask(c, "Key", "unknown")
	c.Assert(status, qt.Equals, http.StatusUnauthorized)
	b.dispatcher.servers = nil
	status, _, _ = b.ask(c)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(b.limiter.returned, qt.Equals, 1)
	c.Assert(s.seen(), qt.HasLen, 0)
}

// TestWaitsForTheFirstDocument replays the restart of all hosts: a request that comes before
// the document is answered once that is there, and is refused as not run if it stays out.
func TestWaitsForTheFirstDocument(t *testing.T) {
	c := qt.New(t)
	s := newRawServer(c, okAnswer)
	b := newBench(c, once, s)
	view := testView(c, once)
	b.course.table.Store(nil)
	b.course.first = firstDocument{documented: make(chan struct{})}
	status, _, _ := b.ask(c)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	later := &laterView{course: b.course, view: view}
	go later.run()
	status, body, _ := b.ask(c)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "whole")
}

// laterView brings the view once a request waits.
type laterView struct {
	course *Course
	view   masticview.View
}

func (l *laterView) run() {
	for l.course.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.course.SetView(l.view)
}

// noLease is the lease of a host that is out of control's reach.
type noLease struct{ masticcall.Views }

func (noLease) Leased(time.Time) bool { return false }

// TestFailClosed: a host without a lease serves on, unless it is set to refuse.
func TestFailClosed(t *testing.T) {
	c := qt.New(t)
	s := newRawServer(c, okAnswer)
	b := newBench(c, once, s)
	status, _, _ := b.ask(c)
	c.Assert(status, qt.Equals, http.StatusOK)
	b.course.lease = noLease{}
	status, _, _ = b.ask(c)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(s.seen(), qt.HasLen, 1)
}

// TestCallerThatLeavesSpeaksNotAgainstTheServer replays callers that leave in the middle of a
// stream: the connection that their leaving closed counted as a server that had ended, and
// healthy servers were paused.
func TestCallerThatLeavesSpeaksNotAgainstTheServer(t *testing.T) {
	for _, head := range []string{streamHead + chunk(event(1)), okHead + "Content-Length: 50\r\n\r\n"} {
		c := qt.New(t)
		s := newRawServer(c, head)
		b := newBench(c, stream, s)
		b.dispatcher.ended = make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, b.front.URL+"/a/x", nil)
		c.Assert(err, qt.IsNil)
		q.Header.Set("Key", testKey)
		l := &leaver{server: s, cancel: cancel}
		go l.run()
		a, err := http.DefaultTransport.RoundTrip(q)
		if err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		<-b.dispatcher.ended
		c.Assert(b.dispatcher.results, qt.HasLen, 1)
		c.Assert(b.dispatcher.results[0].Failure, qt.Equals, string(masticerror.KindCancelled))
		c.Assert(b.dispatcher.results[0].ServerEnded, qt.IsFalse)
	}
}

// leaver cancels a request once the server has it.
type leaver struct {
	server *rawServer
	cancel context.CancelFunc
}

func (l *leaver) run() {
	for len(l.server.seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	l.cancel()
}
