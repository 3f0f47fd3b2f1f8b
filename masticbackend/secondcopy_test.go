package masticbackend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallerGetsSecondCopyOfAnotherAnswer: a second copy of an answer without an identifier would be taken
// for the answer to the next request on the connection, so the connection is not used again.
func TestCallerGetsSecondCopyOfAnotherAnswer(t *testing.T) {
	for _, x := range []struct {
		name   string
		echoes bool
		kept   int
	}{{"with identifier", true, 1}, {"without identifier", false, 0}} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if x.echoes {
					w.Header().Set("Id", r.Header.Get("Id"))
				}
			}))
			defer s.Close()
			address := s.Listener.Addr().String()
			client := New(WithIdentify(func(h map[string][]string) string { return http.Header(h).Get("Id") }))
			a, err := client.Do(t.Context(), Request{Address: address, ID: "q", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"q"}}, Deadline: time.Now().Add(time.Minute)})
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(a)
			c.Assert(err, qt.IsNil)
			a.Close()
			c.Assert(client.idleConns[address], qt.HasLen, x.kept)
		})
	}
}
