package main

import (
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStoppedHostLeavesNoLine: a control host that was stopped left no line that told its end from that of a killed process.
func TestStoppedHostLeavesNoLine(t *testing.T) {
	c := qt.New(t)
	p := newFleet(t, 1)[0]
	p.roles = `["control"]`
	p.writeSettings(0, []*process{p})
	p.start()
	waitFor(t, "the admin address", func() bool {
		return call(http.MethodGet, "http://"+p.admin+"/healthz", "", "").status == http.StatusOK
	})
	p.signal(syscall.SIGTERM)
	c.Assert(p.command.Wait(), qt.IsNil)
	c.Assert(p.log.String(), qt.Contains, `"msg":"signal"`)
	c.Assert(p.log.String(), qt.Contains, `"msg":"stop"`)
}
