package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
)

// TestHangupCutsStreams: a SIGHUP, as when the terminal of an operator closes, ended a host at once, with all its streams and without a
// line.
func TestHangupCutsStreams(t *testing.T) {
	c := qt.New(t)
	b := &backends{change: testChange()}
	b.serve(t, "engine-1", masticfake.NewEngine("engine-1", masticfake.WithModel("saw", "1"), masticfake.WithOutput(24), masticfake.WithSpeed(0, 8)), "engine")
	b.serve(t, "orders-1", masticfake.NewService("orders"), "service")
	p := newFleet(t, 1)[0]
	p.start()
	publishUntilAccepted(t, []*process{p}, "first", b.change)
	waitFor(t, "the orders", func() bool { return p.order("ready").status == http.StatusOK })
	group := &sync.WaitGroup{}
	running := &chatRun{process: p, prompt: "runs", group: group}
	group.Add(1)
	go running.run()
	waitFor(t, "the stream", func() bool {
		return strings.Contains(call(http.MethodGet, "http://"+p.listen+"/healthz", "", "").body, `"running":1`)
	})
	p.signal(syscall.SIGHUP)
	group.Wait()
	wantAnswer(c, running.answer, "runs")
	c.Assert(p.command.Wait(), qt.IsNil)
}
