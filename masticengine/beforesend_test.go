package masticengine

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticview"
)

// countingServer echoes request IDs and counts POST requests.
type countingServer struct{ requests atomic.Int64 }

func (s *countingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		s.requests.Add(1)
	}
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(HeaderIncarnation, "1")
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

// lastCheck is a BeforeSend that fails if err is set.
type lastCheck struct {
	err   *masticerror.Error
	calls int
}

func (l *lastCheck) check() error {
	l.calls++
	if l.err == nil {
		return nil
	}
	return l.err
}

// TestRequestIsSentAfterLastCheckFailed guards against a request that is sent although the caller left or the deadline passed
// while the host waited for a connection, and against a refused one that counts as sent.
func TestRequestIsSentAfterLastCheckFailed(t *testing.T) {
	for _, kind := range []masticview.ServerKind{masticview.ServerService, masticview.ServerEngine} {
		for _, once := range []bool{false, true} {
			for _, used := range []bool{false, true} {
				c := qt.New(t)
				s := &countingServer{}
				h := httptest.NewServer(s)
				client := New()
				call := Call{
					Server:    masticview.Server{Name: "s", Kind: kind, URL: h.URL},
					RequestID: "q1", Method: http.MethodPost, Path: "/a", Body: []byte("{}"), Once: once,
				}
				if used {
					a, err := client.Do(t.Context(), call)
					c.Assert(err, qt.IsNil)
					a.Release()
				}
				before := s.requests.Load()
				l := &lastCheck{err: masticerror.New(masticerror.KindCancelled, "the caller left")}
				call.BeforeSend = l.check
				_, err := client.Do(t.Context(), call)
				var f *Failure
				c.Assert(errors.As(err, &f), qt.IsTrue)
				c.Check(f.Sent, qt.IsFalse)
				c.Check(f.ServerEnded, qt.IsFalse)
				c.Check(f.Err.Kind(), qt.Equals, masticerror.KindCancelled)
				c.Check(l.calls, qt.Equals, 1)
				l.err = nil
				a, err := client.Do(t.Context(), call)
				c.Check(err, qt.IsNil)
				a.Release()
				client.Close()
				h.Close()
				c.Check(s.requests.Load(), qt.Equals, before+1, qt.Commentf("kind %v, once %v, used %v", kind, once, used))
			}
		}
	}
}
