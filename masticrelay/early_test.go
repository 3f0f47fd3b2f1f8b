package masticrelay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticdocument"
	"masticladder/masticfake"
	"masticladder/masticview"
)

// longUploadBytes is more than the socket buffers of both sides hold.
const longUploadBytes = 24 << 20

// upload sends a request with a body of size bytes.
func (b *fixture) upload(c *qt.C, size int) (status int, body string, whole bool) {
	q, err := http.NewRequest(http.MethodPost, b.front.URL+"/a/x", strings.NewReader(strings.Repeat("u", size)))
	c.Assert(err, qt.IsNil)
	q.Header.Set("Key", testKey)
	a, err := b.front.Client().Transport.RoundTrip(q)
	if err != nil {
		return 0, "", false
	}
	defer a.Body.Close()
	read, err := io.ReadAll(a.Body)
	return a.StatusCode, string(read), err == nil
}

func newEarlyFixture(c *qt.C, r masticdocument.Route, answer string, options ...masticfake.EarlyOption) (*fixture, *masticfake.EarlyServer) {
	server, err := masticfake.ServeEarly(strings.ReplaceAll(answer, "Id: ID", "Id: q1"), options...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(server.Close)
	b := newFixture(c, r)
	b.dispatcher.servers = append(b.dispatcher.servers, masticview.Server{Name: "s0", Incarnation: "born", URL: "http://" + server.Address()})
	return b, server
}

// TestAnswerResetDuringUploadLooksWhole guards against a part of an answer without a length that is passed on as a complete one:
// the write of the request consumes the error of the reset connection, and the answer then ends as with a regular close.
func TestAnswerResetDuringUploadLooksWhole(t *testing.T) {
	long := strings.Repeat("p", 3*relayBufferBytes)
	events := okHead + "Content-Type: text/event-stream\r\n\r\n"
	for _, x := range []struct {
		name, answer string
		route        masticdocument.Route
		passed       bool
	}{
		{"plain, before the first byte", okHead + "\r\npart", once, false},
		{"plain, after the first byte", okHead + "\r\n" + long, once, true},
		{"plain, repeatable", okHead + "\r\npart", masticdocument.Route{Repeat: masticdocument.RetryIdempotent, Attempts: 1}, false},
		{"plain, nothing", okHead + "\r\n", once, false},
		{"stream, before the first event", events + "id: 1\nda", stream, false},
		{"stream, nothing", events, stream, false},
		{"stream, after the first event", events + event(1) + event(2), stream, true},
	} {
		for _, blocked := range []bool{true, false} {
			t.Run(fmt.Sprint(x.name, ", upload blocked ", blocked), func(t *testing.T) {
				c := qt.New(t)
				size := longUploadBytes
				var options []masticfake.EarlyOption
				if !blocked {
					size, options = 10, append(options, masticfake.WithBodyRead())
				}
				b, server := newEarlyFixture(c, x.route, x.answer, options...)
				status, body, whole := b.upload(c, size)
				c.Check(status == http.StatusOK && whole, qt.IsFalse, qt.Commentf("%d bytes", len(body)))
				if !x.passed {
					c.Check(status, qt.Equals, http.StatusBadGateway)
				}
				c.Check(server.Requests(), qt.Equals, 1)
			})
		}
	}
}

// TestAnswerThatStatesItsEndIsPassedOnDuringUpload: the complete refusal of an upload reaches its caller although the server
// closes the connection before it has read the body.
func TestAnswerThatStatesItsEndIsPassedOnDuringUpload(t *testing.T) {
	c := qt.New(t)
	b, _ := newEarlyFixture(c, once, "HTTP/1.1 413 Large\r\nId: ID\r\nContent-Length: 5\r\n\r\nlarge")
	status, body, whole := b.upload(c, longUploadBytes)
	c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(body, qt.Equals, "large")
	c.Assert(whole, qt.IsTrue)
}

// TestInvalidStatusIsPassedOn guards against statuses of three characters that a number parser accepts, which are no HTTP
// statuses, and against others that it might come to accept.
func TestInvalidStatusIsPassedOn(t *testing.T) {
	for _, status := range []string{"000", "0", "99", "099", "020", "1000", "+200", "+20", "-00", "2e2", "200\t", "", "abc", "0x1"} {
		for _, route := range []masticdocument.Route{once, stream} {
			t.Run(fmt.Sprintf("%q %s", status, route.Repeat), func(t *testing.T) {
				c := qt.New(t)
				for _, head := range []string{"\r\nId: ID\r\nDigest: d\r\nContent-Length: 5\r\n\r\nwhole", " OK\r\nId: ID\r\nDigest: d\r\nContent-Length: 5\r\n\r\nwhole"} {
					server := newRawServer(c, "HTTP/1.1 "+status+head)
					b := newFixture(c, route, server)
					got, body, whole := b.send(c)
					c.Check(got, qt.Equals, http.StatusBadGateway, qt.Commentf("%q %v", body, whole))
					c.Check(body, qt.Not(qt.Contains), "whole")
				}
			})
		}
	}
}
