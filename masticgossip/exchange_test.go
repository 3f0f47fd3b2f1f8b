package masticgossip

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticlimit"
	"masticladder/masticroute"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// fakeDispatcher has load to report and, where limits is set, request rates.
type fakeDispatcher struct {
	sharded bool
	limits  map[string]masticlimit.Report
	reports int
}

func (d *fakeDispatcher) TakeOwnReport(host string) (masticroute.PeerReport, bool) {
	d.reports++
	return masticroute.PeerReport{Host: host, Servers: []masticroute.ServerLoad{{Server: "i-1"}}}, true
}
func (d *fakeDispatcher) ApplyPeerReport(masticroute.PeerReport)          {}
func (d *fakeDispatcher) ReportDue() <-chan struct{}                      { return nil }
func (d *fakeDispatcher) TakeLimitReports() map[string]masticlimit.Report { return d.limits }
func (d *fakeDispatcher) ApplyLimitReport(masticlimit.Report)             {}
func (d *fakeDispatcher) Sharded() bool                                   { return d.sharded }

// TestConnectionsForReportsAreKept: a host that began on a small site kept a connection to each of its other
// hosts when the site grew, though it sent them nothing any more.
func TestConnectionsForReportsAreKept(t *testing.T) {
	c := qt.New(t)
	peers := []string{"127.0.0.1:1", "127.0.0.1:2"}
	d := &fakeDispatcher{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var v masticview.View
	v = v.WithHost(masticview.Host{Name: "other", Peer: peers[0], State: masticview.HostLive})
	e, err := New("host", masticwire.New(), func() masticview.View { return v }, d, log)
	c.Assert(err, qt.IsNil)
	c.Assert(e.report(peers), qt.IsTrue)
	c.Assert(e.clients, qt.HasLen, 2)
	d.sharded = true
	c.Assert(e.report(peers), qt.IsTrue)
	c.Assert(e.clients, qt.HasLen, 0)
	c.Assert(d.reports, qt.Equals, 1)
	d.limits = map[string]masticlimit.Report{"other": {Host: "host"}}
	c.Assert(e.report(peers), qt.IsTrue)
	c.Assert(e.clients, qt.HasLen, 1)
	c.Assert(e.report(peers), qt.IsTrue)
	c.Assert(e.clients, qt.HasLen, 1)
}
