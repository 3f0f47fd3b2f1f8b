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

// chatRun sends one streamed request.
type chatRun struct {
	process *process
	prompt  string
	answer  answer
	group   *sync.WaitGroup
}

func (r *chatRun) run() {
	defer r.group.Done()
	r.answer = r.process.chat(testKey, r.prompt)
}

// TestDrainingHostLosesItsLease: a host that drains, by a signal or retired by an operator, must serve with a view lease to its end:
// without one, keyed requests are refused while others still list it, and no attempt is made again.
func TestDrainingHostLosesItsLease(t *testing.T) {
	for _, retired := range []bool{false, true} {
		t.Run(map[bool]string{false: "signal", true: "retired"}[retired], func(t *testing.T) {
			c := qt.New(t)
			b := &backends{change: testChange()}
			b.serve(t, "engine-1", masticfake.NewEngine("engine-1", masticfake.WithModel("saw", "1"), masticfake.WithOutput(24), masticfake.WithSpeed(0, 4)), "engine")
			b.serve(t, "orders-1", masticfake.NewService("orders"), "service")
			fleet := newFleet(t, 3)
			for _, p := range fleet {
				p.start()
			}
			publishUntilAccepted(t, fleet, "first", b.change)
			p := fleet[0]
			waitFor(t, "the orders", func() bool { return p.order("ready").status == http.StatusOK })
			group := &sync.WaitGroup{}
			running := &chatRun{process: p, prompt: "runs", group: group}
			late := &chatRun{process: p, prompt: "comes late", group: group}
			group.Add(2)
			go running.run()
			waitFor(t, "the stream", func() bool {
				return strings.Contains(call(http.MethodGet, "http://"+p.listen+"/healthz", "", "").body, `"running":1`)
			})
			if retired {
				waitFor(t, "the host retired", func() bool {
					return call(http.MethodPost, "http://"+fleet[1].admin+"/v1/hosts/host-1/retire", "", "", "Mastic-Request-Id", "retire").status == http.StatusOK
				})
			} else {
				p.signal(syscall.SIGTERM)
			}
			waitFor(t, "the drain", func() bool { return strings.Contains(p.log.String(), "drain: started") })
			go late.run()
			group.Wait()
			wantAnswer(c, running.answer, "runs")
			wantAnswer(c, late.answer, "comes late")
			c.Assert(p.command.Wait(), qt.IsNil)
			_, drain, _ := strings.Cut(p.log.String(), "drain: started")
			c.Assert(drain, qt.Not(qt.Contains), "view lease ended")
		})
	}
}
