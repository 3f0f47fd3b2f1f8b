package masticdaemon

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// orderlessControl commits the announcement of a live host later than what is published after it.
type orderlessControl struct {
	masticcall.Operator
	masticcall.Views
	mutex sync.Mutex
	view  masticview.View
}

func (o *orderlessControl) View() masticview.View {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.view
}

func (o *orderlessControl) Publish(_ context.Context, _ string, _ uint64, change *masticproto.ViewChange) (masticcall.PublishResult, error) {
	h := change.GetHosts()[0]
	if h.GetState() == string(masticview.HostLive) {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(time.Second)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	host := masticview.Host{Name: h.GetName(), Address: h.GetAddress(), State: masticview.HostState(h.GetState())}
	o.view = o.view.WithHost(host).WithRevision(o.view.Revision() + 1)
	return masticcall.PublishResult{Revision: o.view.Revision(), InForce: true}, nil
}

// TestHostThatStopsAsItStartsStaysListed: the announcement of a host was committed after its withdrawal when it was stopped while it
// announced itself. Other hosts listed it until it had ended and its renewals were missed.
func TestHostThatStopsAsItStartsStaysListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		control := &orderlessControl{view: masticview.View{}.WithRevision(1)}
		a := &announcer{host: masticview.Host{Name: "host-1", Address: "127.0.0.1:1", State: masticview.HostLive}, operator: control, views: control, log: log}
		a.context, a.cancel = context.WithCancel(t.Context())
		d := newDrainer(&idleGate{}, a, log, 20*time.Second, 0, time.Minute)
		announcing := &actorRunner{actor: a.run, ended: make(chan error, 1)}
		go announcing.run()
		time.Sleep(time.Second)
		d.start()
		c.Assert(d.run(), qt.IsNil)
		host, _ := control.View().Host("host-1")
		c.Assert(host.State, qt.Equals, masticview.HostLeaving)
		a.stop(nil)
		c.Assert(<-announcing.ended, qt.IsNil)
	})
}
