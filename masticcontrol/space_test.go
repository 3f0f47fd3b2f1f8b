package masticcontrol_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcontrol"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

const testDiskBytes = 4 << 20

// recoveryTimeout is the time within which each change is acknowledged once all disks have room again.
const recoveryTimeout = 10 * time.Second

// putDocument puts a document of n bytes and repeats it until there is a definite answer.
func (c *cluster) putDocument(a *client, number int64, n int) error {
	c.t.Helper()
	var err error
	c.eventually(fmt.Sprintf("document %d is answered", number), func() bool {
		err = c.tryDocument(a, number, n)
		return err == nil || masticerror.KindOf(err) == masticerror.KindBodyTooLarge
	})
	return err
}

// tryDocument puts a document of n bytes once.
func (c *cluster) tryDocument(a *client, number int64, n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.tryDocumentUntil(ctx, a, number, n)
}

// tryDocumentUntil puts a document of n bytes once, until ctx ends.
func (c *cluster) tryDocumentUntil(ctx context.Context, a *client, number int64, n int) error {
	content := fmt.Appendf(nil, "%d %s", number, bytes.Repeat([]byte("r"), n))
	digest := masticview.DigestOf(content)
	_, err := a.PutDocument(ctx, &masticproto.Document{Number: number, ContentDigest: digest[:]}, content)
	return err
}

// TestLargeChangesFillTheDisksOfControlHosts: the log was compacted by its number of entries only, so that some hundred changes of
// a large document filled the disks of all control hosts, for good.
func TestLargeChangesFillTheDisksOfControlHosts(t *testing.T) {
	for _, size := range []int{100, 8 << 10, 100 << 10} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			q := quicktest.New(t)
			c, disks := withDisks(t, 0, masticcontrol.WithDiskBytes(testDiskBytes))
			for _, d := range disks {
				d.set(func(d *disk) { d.capacity = testDiskBytes })
			}
			a := c.agent(1)
			const changes = 150
			for n := range int64(changes) {
				q.Assert(c.putDocument(a, n+1, size), quicktest.IsNil)
			}
			for _, name := range three {
				q.Assert(c.nodes[name].stopped(), quicktest.IsFalse)
			}
			number, content, err := a.ReadDocument(c.context())
			q.Assert(err, quicktest.IsNil)
			q.Assert(number, quicktest.Equals, int64(changes))
			q.Assert(content, quicktest.HasLen, size+len("150 "))
		})
	}
}

// TestDocumentLargerThanTheDiskAllowsIsRefused: a change that can never be stored beside its snapshots is refused at once, and
// costs no other.
func TestDocumentLargerThanTheDiskAllowsIsRefused(t *testing.T) {
	q := quicktest.New(t)
	c, _ := withDisks(t, 0, masticcontrol.WithDiskBytes(testDiskBytes))
	a := c.agent(1)
	q.Assert(c.putDocument(a, 1, 1000), quicktest.IsNil)
	q.Assert(masticerror.KindOf(c.putDocument(a, 2, testDiskBytes/8)), quicktest.Equals, masticerror.KindBodyTooLarge)
	q.Assert(c.putDocument(a, 3, 1000), quicktest.IsNil)
}

// TestFollowerWithoutRoomStopsTheOthers: one control host whose disk is filled by other files neither ends nor holds back the
// others, and follows them again once there is room.
func TestFollowerWithoutRoomStopsTheOthers(t *testing.T) {
	q := quicktest.New(t)
	c, disks := withDisks(t, 0, masticcontrol.WithDiskBytes(testDiskBytes))
	a := c.agent(1)
	q.Assert(c.putDocument(a, 1, 1000), quicktest.IsNil)
	leader := c.leader(a)
	var full string
	for _, name := range three {
		if name != leader {
			full = name
		}
	}
	disks[full].set(func(d *disk) { d.capacity, d.filled = testDiskBytes, testDiskBytes })
	for n := range int64(60) {
		q.Assert(c.putDocument(a, n+2, 64<<10), quicktest.IsNil)
	}
	c.eventually("the host without room ends", c.nodes[full].stopped)
	disks[full].set(func(d *disk) { d.filled = 0 })
	c.stop(full)
	c.start(full, c.members()...)
	c.eventually("the host joins again", func() bool { return c.nodes[full].control.Joined() })
	q.Assert(c.putDocument(a, 100, 64<<10), quicktest.IsNil)
}

// TestSnapshotThatDidNotFitIsNotStoredWithoutAChange: a snapshot that found no room was stored only after another entry, so that a host
// that refuses changes because its log is long refused them long after there was room again.
func TestSnapshotThatDidNotFitIsNotStoredWithoutAChange(t *testing.T) {
	q := quicktest.New(t)
	var counters masticcontrol.Counters
	c, disks := withDisks(t, 0, masticcontrol.WithDiskBytes(testDiskBytes), masticcontrol.WithCounters(&counters), masticcontrol.WithTickInterval(time.Hour))
	a := c.agent(1)
	for _, d := range disks {
		d.set(func(d *disk) { d.snapshotsFull = true })
	}
	number := int64(0)
	for kind := masticerror.Kind(""); kind != masticerror.KindStorageFull; {
		number++
		err := c.tryDocument(a, number, 100<<10)
		kind = masticerror.KindOf(err)
		q.Assert(number < 100, quicktest.IsTrue)
	}
	failures := counters.SnapshotFailures.Load()
	c.eventually("the snapshots of all hosts are tried again", func() bool { return counters.SnapshotFailures.Load() >= failures+int64(len(three)) })
	for _, d := range disks {
		d.set(func(d *disk) { d.snapshotsFull = false })
	}
	ctx, cancel := context.WithTimeout(c.context(), recoveryTimeout)
	defer cancel()
	err := error(masticerror.New(masticerror.KindInternal, "not tried"))
	for err != nil && ctx.Err() == nil {
		err = c.tryDocument(a, number, 100<<10)
	}
	q.Assert(err, quicktest.IsNil)
}
