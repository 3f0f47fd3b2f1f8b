package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// operatorCall publishes a change through one host, which closes read when it has the call.
type operatorCall struct {
	process *process
	answer  answer
	read    chan struct{}
	done    chan struct{}
}

func (o *operatorCall) run() {
	defer close(o.done)
	trace := &httptrace.ClientTrace{Got100Continue: func() { close(o.read) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost,
		"http://"+o.process.admin+"/v1/publish", strings.NewReader(`{"requestId": "waits", "change": {}}`))
	if err != nil {
		o.answer.err = err
		return
	}
	r.Header.Set("Expect", "100-continue")
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: waitTimeout}}
	a, err := client.Do(r)
	if err != nil {
		o.answer.err = err
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	o.answer = answer{a.StatusCode, a.Header, string(b), err}
}

// TestControlHostCutsOperatorsWhenItIsStopped: an operator's change that waited for a leader was cut, without a word on its outcome,
// by the stop of the host that it was sent to.
func TestControlHostCutsOperatorsWhenItIsStopped(t *testing.T) {
	for _, roles := range []string{`["control"]`, `["entry", "control"]`} {
		t.Run(roles, func(t *testing.T) {
			c := qt.New(t)
			fleet := newFleet(t, 3)
			// The others are not started, so that there is no leader.
			p := fleet[0]
			p.roles = roles
			p.writeSettings(0, fleet)
			p.start()
			waitFor(t, "the admin address", func() bool {
				return call(http.MethodGet, "http://"+p.admin+"/healthz", "", "").status == http.StatusOK
			})
			o := &operatorCall{process: p, read: make(chan struct{}), done: make(chan struct{})}
			go o.run()
			<-o.read
			p.signal(syscall.SIGTERM)
			<-o.done
			c.Assert(o.answer.err, qt.IsNil)
			c.Assert(o.answer.status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(strings.Contains(o.answer.body, `"kind"`), qt.IsTrue, qt.Commentf("%s", o.answer.body))
			c.Assert(p.command.Wait(), qt.IsNil)
		})
	}
}
