package masticengine

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticfake"
	"masticladder/masticstream"
	"masticladder/masticview"
)

// longUploadBytes is more than the socket buffers of both sides hold.
const longUploadBytes = 24 << 20

const earlyHead = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": ID\r\n"

// earlyCall is a call to an EarlyServer.
type earlyCall struct {
	name string
	kind masticview.ServerKind
	// stream reports that the answer is read as a stream.
	stream, once bool
}

var earlyCalls = []earlyCall{
	{"service", masticview.ServerService, false, false},
	{"service, once", masticview.ServerService, false, true},
	{"engine", masticview.ServerEngine, false, false},
	{"engine, stream", masticview.ServerEngine, true, false},
}

// send returns the data that the caller would get, and an error unless it is complete.
func (x earlyCall) send(t *testing.T, client *Client, address string, size int) (string, error) {
	call := Call{
		Server:    masticview.Server{Name: "s", Kind: x.kind, URL: "http://" + address},
		RequestID: "q1", Method: http.MethodPost, Path: "/a", Body: []byte(strings.Repeat("u", size)), Once: x.once,
		Sequence: masticstream.NewSequence("q1"),
	}
	if !x.stream {
		a, err := client.Do(t.Context(), call)
		defer a.Release()
		return string(a.Body), err
	}
	s, err := client.Stream(t.Context(), call)
	if err != nil {
		return "", err
	}
	defer s.Close()
	var data strings.Builder
	for {
		e, err := s.Next()
		if err != nil {
			return data.String(), err
		}
		if e.IsEnd() {
			return data.String(), nil
		}
		data.Write(e.Data)
	}
}

// TestAnswerResetDuringUploadLooksWhole guards against a part of an answer without a length or end mark that is taken for a
// complete one after the connection was reset while the request was written. The end then looks like a regular close.
func TestAnswerResetDuringUploadLooksWhole(t *testing.T) {
	event := fmt.Sprintf("id: q1/0\ndata: {\"a\":%q}\n\n", strings.Repeat("p", 100))
	streamed := earlyHead + "Content-Type: text/event-stream\r\n"
	for _, x := range earlyCalls {
		for _, answer := range []string{
			earlyHead + "\r\n{}", earlyHead + "\r\n" + strings.Repeat("1", 32<<10), earlyHead + "\r\n",
			streamed + "\r\n", streamed + "\r\nid: q1/0\nda", streamed + "\r\n" + event,
		} {
			for _, end := range []string{"reset during the upload", "reset after the upload", "closed after the upload"} {
				t.Run(fmt.Sprintf("%s, %.90q, %s", x.name, answer[len(earlyHead):], end), func(t *testing.T) {
					c := qt.New(t)
					size, options := 10, []masticfake.EarlyOption{masticfake.WithBodyRead()}
					switch end {
					case "reset during the upload":
						size, options = longUploadBytes, nil
					case "closed after the upload":
						options = append(options, masticfake.WithoutReset())
					}
					s, err := masticfake.ServeEarly(answer, options...)
					c.Assert(err, qt.IsNil)
					defer s.Close()
					client := New()
					defer client.Close()
					data, err := x.send(t, client, s.Address(), size)
					var f *Failure
					c.Assert(errors.As(err, &f), qt.IsTrue, qt.Commentf("complete with %.100q", data))
					c.Check(f.Sent, qt.IsTrue)
					c.Check(s.Requests(), qt.Equals, 1)
				})
			}
		}
	}
}

// TestInvalidStatusIsAnAnswer guards against statuses of three characters that a number parser accepts, which are no HTTP
// statuses, and against others that it might come to accept.
func TestInvalidStatusIsAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "0", "99", "099", "020", "1000", "+200", "+20", "-00", "2e2", "200\t", "", "abc", "0x1"} {
		for _, x := range earlyCalls {
			t.Run(fmt.Sprintf("%q %s", status, x.name), func(t *testing.T) {
				c := qt.New(t)
				for _, media := range []string{"application/json", "text/event-stream"} {
					s, err := masticfake.ServeEarly("HTTP/1.1 "+status+"\r\n"+HeaderRequestID+": ID\r\nContent-Type: "+media+"\r\nContent-Length: 2\r\n\r\n{}",
						masticfake.WithBodyRead(), masticfake.WithoutReset(), masticfake.WithProbes())
					c.Assert(err, qt.IsNil)
					client := New()
					data, err := x.send(t, client, s.Address(), 10)
					client.Close()
					s.Close()
					var f *Failure
					c.Assert(errors.As(err, &f), qt.IsTrue, qt.Commentf("complete with %q", data))
					c.Check(f.Sent, qt.IsTrue)
					c.Check(f.Rejected, qt.IsNil)
					c.Check(f.Err.Kind(), qt.Equals, masticerror.KindBackendFailed)
				}
			})
		}
	}
}
