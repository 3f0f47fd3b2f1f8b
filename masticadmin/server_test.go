package masticadmin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

type fixedViews struct{ view masticview.View }

func (f fixedViews) View() masticview.View { return f.view }

func (f fixedViews) Leased(time.Time) bool { return true }

// recordingOperator records the last accepted publish. It rejects base revision 1 as a conflict.
type recordingOperator struct {
	masticcall.Operator
	requestID string
	change    *masticproto.ViewChange
}

func (r *recordingOperator) Publish(_ context.Context, id string, base uint64, c *masticproto.ViewChange) (masticcall.PublishResult, error) {
	if base == 1 {
		return masticcall.PublishResult{}, masticerror.New(masticerror.KindConflict, "the current revision is 7")
	}
	r.requestID = id
	r.change = c
	return masticcall.PublishResult{Revision: 8, InForce: true}, nil
}

func testServer(options ...Option) (*httptest.Server, *recordingOperator) {
	r := &recordingOperator{}
	view := masticview.View{}.WithKey(masticview.Key{ID: "k1", Workspace: "w", Profile: "p", State: masticview.KeyActive})
	all := append([]Option{WithOperator(r), WithViews(fixedViews{view})}, options...)
	return httptest.NewServer(New(all...)), r
}

func TestOperatorKeyIsRequired(t *testing.T) {
	c := qt.New(t)
	s, _ := testServer(WithOperatorKeys(masticview.DigestOf([]byte("operator"))))
	defer s.Close()
	_, err := NewClient(s.URL).View(t.Context())
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindUnauthenticated)
	_, err = NewClient(s.URL, WithKey("wrong")).View(t.Context())
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindUnauthenticated)
	d, err := NewClient(s.URL, WithKey("operator")).View(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(d.Keys, qt.HasLen, 1)
}

func TestWithdrawKeyForwardsRequestID(t *testing.T) {
	c := qt.New(t)
	s, r := testServer()
	defer s.Close()
	p, err := NewClient(s.URL).WithdrawKey(t.Context(), "again-1", "k1")
	c.Assert(err, qt.IsNil)
	c.Assert(p, qt.Equals, masticcall.PublishResult{Revision: 8, InForce: true})
	c.Assert(r.requestID, qt.Equals, "again-1")
	c.Assert(r.change.Keys[0].State, qt.Equals, "withdrawn")
	_, err = NewClient(s.URL).WithdrawKey(t.Context(), "again-2", "k2")
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindNotFound)
}

func TestPublishRejectsInvalidRequests(t *testing.T) {
	s, _ := testServer()
	defer s.Close()
	for _, x := range []struct {
		name, body string
		status     int
		kind       masticerror.Kind
	}{
		{"notJSON", `{`, http.StatusBadRequest, masticerror.KindBadRequest},
		{"unknownField", `{"requestId":"a","change":{"zones":[]}}`, http.StatusBadRequest, masticerror.KindBadRequest},
		{"noRequestID", `{"change":{}}`, http.StatusBadRequest, masticerror.KindBadRequest},
		{"quarantine", `{"requestId":"a","change":{"quarantines":[{}]}}`, http.StatusBadRequest, masticerror.KindBadRequest},
		{"tooLarge", `{"requestId":"` + strings.Repeat("a", MaxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge, masticerror.KindBodyTooLarge},
		{"conflict", `{"requestId":"a","baseRevision":"1","change":{}}`, http.StatusConflict, masticerror.KindConflict},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			response, err := http.Post(s.URL+"/v1/publish", "application/json", strings.NewReader(x.body))
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, x.status)
			var f ErrorResponse
			c.Assert(json.NewDecoder(response.Body).Decode(&f), qt.IsNil)
			c.Assert(f.Error.Kind, qt.Equals, x.kind)
		})
	}
}

func TestMetricsInPrometheusTextFormat(t *testing.T) {
	c := qt.New(t)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("gate.requests", registry).Inc(3)
	metrics.GetOrRegisterGauge("agent.revision", registry).Update(9)
	s, _ := testServer(WithRegistry(registry))
	defer s.Close()
	w := httptest.NewRecorder()
	New(WithRegistry(registry)).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(w.Body.String(), qt.Equals, "# TYPE agent_revision gauge\nagent_revision 9\n# TYPE gate_requests counter\ngate_requests 3\n")
}
