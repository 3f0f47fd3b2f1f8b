package masticdaemon

import (
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcontrol"
	"masticladder/masticproto"
)

var errDisk = errors.New("no space left")

// TestControlReopenedAfterDiskFailure simulates a disk that is full for some time. Before control
// was reopened, each failure ended the process: eight times in five seconds.
func TestControlReopenedAfterDiskFailure(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder, opened := c.TempDir(), make(chan *masticcontrol.Control, 2)
	failures := 1
	open := func() (*masticcontrol.Control, error) {
		if failures > 0 {
			failures--
			return nil, errDisk
		}
		x, err := masticcontrol.New(
			masticcontrol.WithID("a"), masticcontrol.WithFolder(folder), masticcontrol.WithAddress("127.0.0.1:0"),
			masticcontrol.WithMembers(&masticproto.Member{Id: "a", Voter: true, Address: "127.0.0.1:1"}), masticcontrol.WithLog(log),
		)
		opened <- x
		return x, err
	}
	failures = 0
	first, err := open()
	c.Assert(err, qt.IsNil)
	<-opened
	failures = 1
	k := newControlSupervisor(first, open, log)
	a := &actorRunner{actor: k.run, ended: make(chan error, 1)}
	go a.run()
	first.Stop(nil)
	second := <-opened
	c.Assert(second != first, qt.IsTrue)
	for !k.joined() {
		time.Sleep(time.Millisecond)
	}
	k.stop(nil)
	c.Assert(<-a.ended, qt.IsNil)
}
