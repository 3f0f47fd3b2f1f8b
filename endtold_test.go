package main

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
)

// TestSecondInterruptCutsStreams: streams were cut without a word when an operator ended a host that drained.
func TestSecondInterruptCutsStreams(t *testing.T) {
	c := qt.New(t)
	b := &backends{change: testChange()}
	b.serve(t, "engine-1", masticfake.NewEngine("engine-1", masticfake.WithModel("saw", "1"), masticfake.WithOutput(24), masticfake.WithSpeed(0, 0.5)), "engine")
	b.serve(t, "orders-1", masticfake.NewService("orders"), "service")
	p := newFleet(t, 1)[0]
	p.start()
	publishUntilAccepted(t, []*process{p}, "first", b.change)
	waitFor(t, "the orders", func() bool { return p.order("ready").status == http.StatusOK })
	r, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/v1/chat/completions",
		strings.NewReader(`{"model": "saw", "stream": true, "messages": [{"role": "user", "content": "long"}]}`))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	a, err := (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	stream := bufio.NewReader(a.Body)
	_, err = stream.ReadString('\n')
	c.Assert(err, qt.IsNil)
	p.signal(syscall.SIGINT)
	waitFor(t, "the drain", func() bool { return strings.Contains(p.log.String(), "drain: started") })
	p.signal(syscall.SIGINT)
	rest, err := io.ReadAll(stream)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rest), qt.Contains, `"kind":"draining"`)
	c.Assert(p.command.Wait(), qt.IsNil)
}
