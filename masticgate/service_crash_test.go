package masticgate

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticfake"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// crashText in a body ends the server of a plain service that runs the call.
const crashText = "a tooth of glass"

// crashingService is a plain service whose server ends on crashText.
type crashingService struct {
	service *masticfake.Service
	server  *masticfake.Server
}

func (s *crashingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || strings.Contains(string(body), crashText) {
		s.server.Down()
		panic(http.ErrAbortHandler)
	}
	s.service.ServeHTTP(w, r)
}

func (b *fixture) addCrashingService(service masticview.Service, servers int) {
	var handlers []http.Handler
	var services []*crashingService
	for range servers {
		s := &crashingService{service: masticfake.NewService(service.Name)}
		services = append(services, s)
		handlers = append(handlers, s)
	}
	for i, server := range b.addService(service, handlers...) {
		services[i].server = server
	}
}

// TestServiceCallThatEndsServersIsSentAgainWithoutBound: a call of a plain service under which
// servers ended was neither reported nor refused, so that each resend ended more of them.
func TestServiceCallThatEndsServersIsSentAgainWithoutBound(t *testing.T) {
	for _, service := range []masticview.Service{{Name: "lookups", Idempotent: true}, {Name: "orders"}} {
		t.Run(service.Name, func(t *testing.T) {
			b := newFixture(t)
			b.limits.MaxAttempts = 1
			b.addCrashingService(service, 2)
			b.start()
			path := "/services/" + service.Name + "/x"
			b.send(http.MethodPost, path, crashText)
			reports := b.suspects.all()
			b.c.Assert(reports, qt.HasLen, 1)
			b.c.Assert(reports[0].Server, qt.Equals, service.Name+"-0")
			digest := reports[0].Digests[0]
			b.c.Assert(digest, qt.Not(qt.Equals), masticview.Digest{})
			b.views.change(func(v masticview.View) masticview.View {
				until := time.Now().Add(time.Minute)
				next, err := v.Apply(&masticproto.ViewChange{Quarantines: []*masticproto.Quarantine{{Digest: digest[:], UntilUnixMs: until.UnixMilli()}}}, time.Now())
				b.c.Assert(err, qt.IsNil)
				return next
			})
			r := b.send(http.MethodPost, path, crashText)
			b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindQuarantined)
			b.c.Assert(r.detail(b.c).NotRun, qt.IsTrue)
			b.c.Assert(b.suspects.all(), qt.HasLen, 1)
		})
	}
}

// TestRequestQuarantinedByItsOwnAttemptsGets422: a caller whose own attempt had ended the last server before
// the quarantine got 422, as for a request that has not run.
func TestRequestQuarantinedByItsOwnAttemptsGets422(t *testing.T) {
	b := newFixture(t)
	b.addCrashingService(masticview.Service{Name: "lookups", Idempotent: true}, 2)
	b.start()
	b.suspects.onReport = func(r endReport) {
		b.views.change(func(v masticview.View) masticview.View {
			q := &masticproto.Quarantine{Digest: r.Digests[0][:], UntilUnixMs: time.Now().Add(time.Minute).UnixMilli()}
			next, err := v.Apply(&masticproto.ViewChange{Quarantines: []*masticproto.Quarantine{q}}, time.Now())
			b.c.Assert(err, qt.IsNil)
			return next
		})
	}
	r := b.send(http.MethodPost, "/services/lookups/x", crashText)
	b.c.Assert(r.status, qt.Equals, http.StatusBadGateway)
	b.c.Assert(r.detail(b.c).NotRun, qt.IsFalse)
	b.c.Assert(b.suspects.all(), qt.HasLen, 1)
}

// TestBrokenServiceConnectionIsNoEnd checks that a call whose connection broke, while the server
// accepts others, is not reported.
func TestBrokenServiceConnectionIsNoEnd(t *testing.T) {
	b := newFixture(t)
	s := masticfake.NewService("lookups")
	s.SetMode(masticfake.ModeCut)
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, s)
	b.start()
	b.send(http.MethodPost, "/services/lookups/x", "harmless")
	b.c.Assert(s.Received(), qt.Not(qt.HasLen), 0)
	b.c.Assert(b.suspects.all(), qt.HasLen, 0)
}

// TestServiceCallsAreRetriedWithoutBudget: when all servers of a plain service failed, each call was
// sent as often as one call may be, which multiplied the load on them.
func TestServiceCallsAreRetriedWithoutBudget(t *testing.T) {
	b := newFixture(t)
	s := masticfake.NewService("lookups")
	s.SetMode(masticfake.ModeCut)
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, s, s, s)
	b.start()
	// A service may be sent one retry for ten calls, and five more.
	const calls, limit = 50, 50 + 50/10 + 5
	for range calls {
		b.send(http.MethodPost, "/services/lookups/x", "harmless")
	}
	b.c.Assert(s.Count("x") <= limit, qt.IsTrue, qt.Commentf("%d attempts of %d calls", s.Count("x"), calls))
}
