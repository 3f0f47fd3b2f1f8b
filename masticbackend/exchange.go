package masticbackend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"masticladder/masticerror"
)

// maxStrays bounds the answers to other requests that are read past before an answer.
const maxStrays = 2

// maxStrayBytes bounds the body of such an answer.
const maxStrayBytes = 64 << 10

var errCrossed = errors.New("the answer belongs to another request")

// Request is one request to a backend server.
type Request struct {
	// Address is the server's IP:port.
	Address string
	ID      string
	Method  string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Header has no fields that concern one connection only.
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Answer is a backend server's answer. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where it is not stated.
	Length   int64
	client   *Client
	conn     *connection
	response *http.Response
	stop     func() bool
	context  context.Context
	whole    bool
	closed   sync.Once
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do sends q and returns the head of its answer. The error is a *Failure. When ctx ends, the
// connection is closed.
func (c *Client) Do(ctx context.Context, q Request) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	a, err := c.do(ctx, q)
	if err != nil {
		cancel()
		return nil, err
	}
	stop := a.stop
	a.stop = func() bool {
		stopped := stop()
		cancel()
		return stopped
	}
	return a, nil
}

func (c *Client) do(ctx context.Context, q Request) (*Answer, error) {
	n, err := c.connect(ctx, q.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ended(ctx, false)
		}
		return nil, notSent(err, "connect to %s", q.Address)
	}
	a := &Answer{client: c, conn: n, context: ctx}
	a.stop = context.AfterFunc(ctx, n.close)
	written, err := n.write(q)
	if err != nil && written == 0 {
		a.abandon()
		if ctx.Err() != nil {
			return nil, ended(ctx, false)
		}
		return nil, notSent(err, "send to %s", q.Address)
	}
	// A server may answer and close before it has read all of a request, so the answer is
	// read although the write failed.
	if err := a.head(q); err != nil {
		a.abandon()
		if ctx.Err() != nil {
			return nil, ended(ctx, true)
		}
		return nil, sent(err, "read the answer of %s", q.Address)
	}
	return a, nil
}

// ended returns the failure of a request whose time or caller ended.
func ended(ctx context.Context, wasSent bool) *Failure {
	kind := masticerror.KindCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = masticerror.KindDeadline
	}
	e := masticerror.New(kind, "the exchange ended before its answer")
	if wasSent {
		e = e.WithSent()
	}
	return &Failure{Err: e, Sent: wasSent}
}

// write sends q and returns how many bytes of it may have left.
func (n *connection) write(q Request) (int, error) {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	if err := q.Header.Write(b); err != nil {
		return 0, err
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return n.tcp.Write(b.Bytes())
}

// head reads the head of the answer to q, past informational ones and answers to requests
// before it on the connection.
func (a *Answer) head(q Request) error {
	for strays := 0; ; {
		r, err := http.ReadResponse(a.conn.reader, &http.Request{Method: q.Method})
		if err != nil {
			return err
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		if id := a.client.identify(r.Header); id != "" && id != q.ID {
			strays++
			if strays > maxStrays || r.ContentLength < 0 || r.ContentLength > maxStrayBytes {
				return errCrossed
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return errCrossed
			}
			continue
		}
		a.response, a.Status, a.Header, a.Length = r, r.StatusCode, r.Header, r.ContentLength
		return nil
	}
}

// Read reads the body. It returns io.EOF only after the whole body, and the error of the
// context once that has ended.
func (a *Answer) Read(p []byte) (int, error) {
	k, err := a.response.Body.Read(p)
	if err != nil && a.context.Err() != nil {
		return k, a.context.Err()
	}
	a.whole = a.whole || err == io.EOF
	return k, err
}

// Whole reports whether the whole body was read.
func (a *Answer) Whole() bool { return a.whole }

// Close ends the exchange. The connection is kept for another request only after a whole
// answer with a stated end and without anything after it.
func (a *Answer) Close() { a.closed.Do(a.release) }

func (a *Answer) release() {
	idle := idleFor(a.Header, a.client.idle)
	framed := a.Length >= 0 || len(a.response.TransferEncoding) > 0
	kept := a.stop() && a.whole && framed && !a.response.Close && idle > 0 && a.conn.reader.Buffered() == 0
	if !kept {
		a.conn.close()
		return
	}
	a.conn.idleUntil = time.Now().Add(idle)
	a.client.put(a.conn)
}

func (a *Answer) abandon() {
	a.stop()
	a.conn.close()
}
