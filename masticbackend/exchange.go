package masticbackend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"masticladder/masticbody"
	"masticladder/masticerror"
)

// maxSkippedAnswers is the maximum number of answers to other requests that are skipped before
// the answer.
const maxSkippedAnswers = 2

// minStatus is the lowest HTTP status. The parser also takes statuses like 000, 099 and +20.
const minStatus = 100

// maxSkippedBytes is the maximum body size of a skipped answer.
const maxSkippedBytes = 64 << 10

var (
	errWrongRequest = errors.New("the answer belongs to another request")
	errStatus       = errors.New("the status of the answer is no HTTP status")
	errUnidentified = errors.New("the answer does not state its request on a connection with earlier answers")
)

// Request is one request to a backend server.
type Request struct {
	// Address is the server's IP:port.
	Address string
	ID      string
	Method  string
	// URI is the path and query as sent by the caller.
	URI  string
	Host string
	// Header has no hop-by-hop fields.
	Header   http.Header
	Body     masticbody.Body
	Deadline time.Time
	// Confirm, if not nil, is called if there is no idle connection of a confirmed process. It checks the process with
	// DoOnNewConnection and Answer.Confirm, which leaves a connection to use. Nothing is sent if it returns an error.
	Confirm func(ctx context.Context) error
	// Prepare, if not nil, is called right before the first byte is sent, after all waits, and returns the header to use instead
	// of Header. Nothing is sent if it returns an error.
	Prepare func(now time.Time) (http.Header, *masticerror.Error)
}

// prepare calls Prepare, and fails once the deadline has passed.
func (q *Request) prepare(now time.Time) *masticerror.Error {
	if !now.Before(q.Deadline) {
		return masticerror.New(masticerror.KindDeadline, "the deadline passed before the request was sent")
	}
	if q.Prepare == nil {
		return nil
	}
	h, err := q.Prepare(now)
	if err == nil {
		q.Header = h
	}
	return err
}

// Answer is a backend server's answer. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Informational are the headers of the informational answers that preceded it.
	Informational []http.Header
	// Length is the length of the body in bytes, -1 if not stated.
	Length   int64
	client   *Client
	conn     *connection
	response *http.Response
	// detachContext stops the closing of the connection at the end of the context. It returns
	// false if the context has ended already.
	detachContext func() bool
	context       context.Context
	complete      bool
	// unsent reports that the request could not be written completely. The error of the connection is consumed then, and the
	// end of the answer looks like a regular close.
	unsent bool
	// identified reports that the answer states the request's identifier, or that the request has none.
	identified bool
	closed     sync.Once
}

// Confirmed reports whether Confirm was called for an answer on the same connection, and thus of the same process.
func (a *Answer) Confirmed() bool { return a.conn.confirmed }

// Confirm records that the process at the other end of the connection is the one that was expected.
func (a *Answer) Confirm() { a.conn.confirmed = true }

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do sends q and returns its answer after reading the status line and header. The error is a
// *Failure. The connection is closed when ctx ends.
func (c *Client) Do(ctx context.Context, q Request) (*Answer, error) {
	return c.doOn(ctx, q, c.acquire)
}

// DoOnNewConnection is Do without the use of an idle connection, for checks of whether a server still
// accepts connections.
func (c *Client) DoOnNewConnection(ctx context.Context, q Request) (*Answer, error) {
	return c.doOn(ctx, q, c.dial)
}

// connect returns a connection for a request.
type connect func(ctx context.Context, q *Request) (*connection, error)

func (c *Client) doOn(ctx context.Context, q Request, connect connect) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	a, err := c.do(ctx, q, connect)
	if err != nil {
		cancel()
		return nil, err
	}
	detach := a.detachContext
	a.detachContext = func() bool {
		detached := detach()
		cancel()
		return detached
	}
	return a, nil
}

func (c *Client) do(ctx context.Context, q Request, connect connect) (*Answer, error) {
	n, err := connect(ctx, &q)
	if err != nil {
		if ctx.Err() != nil {
			return nil, contextFailure(ctx, false)
		}
		var unconfirmed *Failure
		if errors.As(err, &unconfirmed) {
			return nil, unconfirmed
		}
		return nil, notSentFailure(err, "connect to %s", q.Address)
	}
	if err := q.prepare(time.Now()); err != nil {
		c.putUnused(n)
		return nil, &Failure{Err: err}
	}
	n.record(q.ID)
	a := &Answer{client: c, conn: n, context: ctx}
	a.detachContext = context.AfterFunc(ctx, n.close)
	written, err := n.write(q)
	if err != nil && written == 0 {
		a.abandon()
		if ctx.Err() != nil {
			return nil, contextFailure(ctx, false)
		}
		return nil, notSentFailure(err, "send to %s", q.Address)
	}
	// A server may answer and close the connection before it has read the complete request, so
	// the answer is read even if the write failed.
	a.unsent = err != nil
	if err := a.readHead(q); err != nil {
		a.abandon()
		if ctx.Err() != nil {
			return nil, contextFailure(ctx, true)
		}
		f := sentFailure(err, "read the answer of %s", q.Address)
		if errors.Is(err, errHeadMemory) {
			// This host has no room; the server was alive.
			f.ServerEnded, f.Answered = false, true
		}
		return nil, f
	}
	return a, nil
}

// contextFailure returns the failure of a request whose deadline passed or whose caller
// cancelled it.
func contextFailure(ctx context.Context, wasSent bool) *Failure {
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

// write sends q and returns the number of bytes that may have been sent.
func (n *connection) write(q Request) (int64, error) {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	length := q.Body.Len()
	if length > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	if err := q.Header.Write(b); err != nil {
		return 0, err
	}
	b.WriteString("\r\n")
	out := append(net.Buffers{b.Bytes()}, q.Body...)
	return out.WriteTo(n.tcp)
}

// readHead reads the status line and header of the answer to q. It skips informational answers
// and answers to earlier requests on the connection. Each head and each skipped body is bounded.
func (a *Answer) readHead(q Request) error {
	a.conn.head.start()
	skipped, interim, fields := 0, 0, 0
	for {
		if err := a.conn.head.begin(); err != nil {
			return err
		}
		r, err := http.ReadResponse(a.conn.reader, &http.Request{Method: q.Method})
		if err != nil {
			return a.conn.head.errorOf(err)
		}
		if r.StatusCode < minStatus {
			return errStatus
		}
		// The reader does not count the lines of a head that were buffered together with what precedes it.
		if fields += fieldsOf(r.Header); fields > maxHeadLines {
			return errHeadLines
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			interim++
			if interim > maxInterimAnswers {
				return errManyInterim
			}
			a.Informational = append(a.Informational, r.Header)
			continue
		}
		id := a.client.identify(r.Header)
		if id == "" && q.ID != "" && (a.conn.reused || skipped > 0) {
			// It may be a copy of an answer to any earlier request, also of a refusal.
			return errUnidentified
		}
		if id != "" && id != q.ID {
			skipped++
			if skipped > maxSkippedAnswers || r.ContentLength < 0 || r.ContentLength > maxSkippedBytes {
				return errWrongRequest
			}
			if err := a.conn.head.beginSkipped(); err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return errWrongRequest
			}
			continue
		}
		a.identified = id == q.ID
		a.response, a.Status, a.Header, a.Length = r, r.StatusCode, r.Header, r.ContentLength
		return a.conn.head.end()
	}
}

// fieldsOf returns the number of fields of a header.
func fieldsOf(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// Read reads the body. It returns io.EOF only after the complete body: an answer that does not state where it ends is
// not known to be complete if the request could not be written. After the context has
// ended, it returns the context's error.
func (a *Answer) Read(p []byte) (int, error) {
	k, err := a.response.Body.Read(p)
	if err != nil && a.context.Err() != nil {
		return k, a.context.Err()
	}
	if err == io.EOF && a.unsent && !a.framed() {
		return k, io.ErrUnexpectedEOF
	}
	a.complete = a.complete || err == io.EOF
	return k, err
}

// framed reports whether the answer states where it ends.
func (a *Answer) framed() bool { return a.Length >= 0 || len(a.response.TransferEncoding) > 0 }

// Complete reports whether the complete body was read.
func (a *Answer) Complete() bool { return a.complete }

// Close ends the exchange. The connection is reused only if the answer was read completely, has
// a stated length or chunked encoding, no data follows it, and a second copy of it could be told from
// another answer by its identifier.
func (a *Answer) Close() { a.closed.Do(a.release) }

func (a *Answer) release() {
	a.conn.head.memory.Release()
	idle := idleTimeoutOf(a.Header, a.client.idleTimeout)
	kept := a.detachContext() && a.complete && a.identified && a.framed() && !a.unsent && !a.response.Close && idle > 0 && a.conn.reader.Buffered() == 0
	if !kept {
		a.conn.close()
		return
	}
	a.conn.idleDeadline = time.Now().Add(idle)
	a.client.putIdle(a.conn)
}

func (a *Answer) abandon() {
	a.conn.head.memory.Release()
	a.detachContext()
	a.conn.close()
}
