package masticrelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// TestRestartThatTheViewDoesNotShowIsAnotherIncarnation checks that all attempts which one end
// broke name one incarnation, and that an attempt which began after it names another.
func TestRestartThatTheViewDoesNotShowIsAnotherIncarnation(t *testing.T) {
	c := qt.New(t)
	var e endedServers
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	listed := masticview.Server{Name: "s", Incarnation: "7"}
	c.Assert(e.record(at(100), at(50), listed), qt.Equals, "7")
	c.Assert(e.record(at(120), at(90), listed), qt.Equals, "7")
	c.Assert(e.record(at(300), at(110), listed), qt.Equals, "7+1")
	c.Assert(e.record(at(310), at(200), listed), qt.Equals, "7+1")
	c.Assert(e.record(at(500), at(400), listed), qt.Equals, "7+2")
	listed.Incarnation = "8"
	c.Assert(e.record(at(700), at(600), listed), qt.Equals, "8")
	e.forgetExcept(masticview.View{})
	c.Assert(e.servers, qt.HasLen, 0)
}
