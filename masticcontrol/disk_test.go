package masticcontrol_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"masticladder/masticcall"
	"masticladder/masticcontrol"
	"masticladder/masticstore"
	"masticladder/masticview"
)

// errNoSpace is the error of a full disk.
var errNoSpace = &fs.PathError{Op: "write", Path: "disk", Err: unix.ENOSPC}

// disk is an in-memory folder that counts syncs and can delay, block or fail them.
type disk struct {
	mutex        sync.Mutex
	changed      *sync.Cond
	files        map[string][]byte
	syncs        int
	syncDelay    time.Duration
	syncsBlocked bool
	failing      bool
	// capacity is the size of the disk in bytes, zero for an unlimited one. filled is what files outside of the folder take.
	capacity, filled int
	// full refuses everything that needs room, snapshotsFull only snapshots, as a disk with little room does.
	full, snapshotsFull bool
	// most is the largest size of all files, those that are being replaced included.
	most int
}

func newDisk() *disk {
	d := &disk{files: map[string][]byte{}}
	d.changed = sync.NewCond(&d.mutex)
	return d
}

func (d *disk) set(f func(*disk)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f(d)
	d.changed.Broadcast()
}

func (d *disk) blockSyncs()   { d.set(func(d *disk) { d.syncsBlocked = true }) }
func (d *disk) unblockSyncs() { d.set(func(d *disk) { d.syncsBlocked = false }) }

func (d *disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *disk) Read(name string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.files[name]), nil
}

func (d *disk) Create(name string) (masticstore.File, error) { return d.Append(name, 0) }

func (d *disk) Append(name string, size int64) (masticstore.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, exists := d.files[name]; d.full && (!exists || int64(len(d.files[name])) != size) {
		return nil, errNoSpace
	}
	d.files[name] = d.files[name][:size]
	return &diskFile{disk: d, name: name}, nil
}

func (d *disk) Replace(name string, content []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.snapshotsFull && name == "snapshot" {
		return errNoSpace
	}
	if err := d.reserve(len(content)); err != nil {
		return err
	}
	d.files[name] = slices.Clone(content)
	return nil
}

// reserve returns an error if n more bytes don't fit. The caller holds the mutex.
func (d *disk) reserve(n int) error {
	used := d.filled + n
	for _, content := range d.files {
		used += len(content)
	}
	if d.full || d.capacity > 0 && used > d.capacity {
		return errNoSpace
	}
	d.most = max(d.most, used)
	return nil
}

func (d *disk) Remove(name string) error {
	d.set(func(d *disk) { delete(d.files, name) })
	return nil
}

func (d *disk) Sync() error {
	time.Sleep(d.syncDelay)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncs++
	for d.syncsBlocked {
		d.changed.Wait()
	}
	if d.failing {
		return errors.New("the disk failed")
	}
	if d.full {
		return errNoSpace
	}
	return nil
}

type diskFile struct {
	*disk
	name string
}

func (f *diskFile) Write(b []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.reserve(len(b)); err != nil {
		// A full disk stores a part of what is written.
		f.files[f.name] = append(f.files[f.name], b[:len(b)/2]...)
		return len(b) / 2, err
	}
	f.files[f.name] = append(f.files[f.name], b...)
	return len(b), nil
}

func (f *diskFile) Close() error { return nil }

// withDisks starts a cluster whose hosts each have an in-memory disk.
func withDisks(t *testing.T, syncDelay time.Duration, options ...masticcontrol.Option) (*cluster, map[string]*disk) {
	c := newCluster(t, three, options...)
	disks := map[string]*disk{}
	for _, name := range three {
		d := newDisk()
		d.syncDelay = syncDelay
		disks[name] = d
		c.nodes[name].options = []masticcontrol.Option{masticcontrol.WithStoreOptions(masticstore.WithFileSystem(d))}
		t.Cleanup(d.unblockSyncs)
	}
	c.startAll()
	return c, disks
}

func TestOneSyncServesManyCalls(t *testing.T) {
	q := quicktest.New(t)
	c, disks := withDisks(t, 2*time.Millisecond)
	a := c.agent(1)
	c.publish(a, "first", baseChange(1))
	leader := disks[c.leader(a)]
	before := leader.syncCount()
	const callers, each = 64, 10
	var done sync.WaitGroup
	for i := range callers {
		done.Add(1)
		r := &reserver{cluster: c, agent: a, number: i, each: each, done: &done}
		go r.run()
	}
	done.Wait()
	syncs := leader.syncCount() - before
	t.Logf("%d commits took %d syncs on the leader", callers*each, syncs)
	q.Assert(syncs < callers*each/2, quicktest.IsTrue)
}

func (d *disk) syncCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.syncs
}

// reserver reserves a number of orders with its own keys.
type reserver struct {
	cluster      *cluster
	agent        *client
	number, each int
	done         *sync.WaitGroup
}

func (r *reserver) run() {
	defer r.done.Done()
	for i := range r.each {
		key := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: workspaceName(r.number*r.each + i)}
		_, err := r.agent.Ledger().Reserve(r.cluster.context(), key, masticview.DigestOf(nil), time.Now().Add(time.Minute))
		if err != nil {
			r.cluster.t.Error(err)
		}
	}
}

func TestFailedDiskStopsTheHost(t *testing.T) {
	q := quicktest.New(t)
	c, disks := withDisks(t, 0, masticcontrol.WithSnapshotEntries(1<<40, 1))
	agents := []*client{c.agent(1), c.agent(2)}
	c.publish(agents[0], "first", baseChange(2))
	l := c.startLoad(agents...)
	l.progress(c, 5)
	old := c.leader(agents[0])
	disks[old].set(func(d *disk) { d.failing = true })
	c.eventually("the host stops", c.nodes[old].stopped)
	q.Assert(c.nodes[old].err, quicktest.ErrorMatches, "(?s).*the disk failed.*")
	l.progress(c, 5)
	l.check(c, agents[1])
}

func TestLeaderWithBlockedDiskUnderLoad(t *testing.T) {
	c, disks := withDisks(t, 0)
	agents := []*client{c.agent(1), c.agent(2)}
	c.publish(agents[0], "first", baseChange(2))
	l := c.startLoad(agents...)
	for range 3 {
		l.progress(c, 5)
		old := c.leader(agents[0])
		disks[old].blockSyncs()
		l.progress(c, 5)
		disks[old].unblockSyncs()
	}
	l.check(c, agents[1])
}
