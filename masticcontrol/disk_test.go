package masticcontrol_test

import (
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticcontrol"
	"masticladder/masticstore"
	"masticladder/masticview"
)

// disk is a folder in memory whose syncs are counted and can be slow, held or fail.
type disk struct {
	mutex   sync.Mutex
	changed *sync.Cond
	files   map[string][]byte
	syncs   int
	pause   time.Duration
	held    bool
	failing bool
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

func (d *disk) hold()    { d.set(func(d *disk) { d.held = true }) }
func (d *disk) release() { d.set(func(d *disk) { d.held = false }) }

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
	d.set(func(d *disk) { d.files[name] = d.files[name][:size] })
	return &diskFile{disk: d, name: name}, nil
}

func (d *disk) Replace(name string, content []byte) error {
	d.set(func(d *disk) { d.files[name] = slices.Clone(content) })
	return nil
}

func (d *disk) Remove(name string) error {
	d.set(func(d *disk) { delete(d.files, name) })
	return nil
}

func (d *disk) Sync() error {
	time.Sleep(d.pause)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncs++
	for d.held {
		d.changed.Wait()
	}
	if d.failing {
		return errors.New("the disk failed")
	}
	return nil
}

type diskFile struct {
	*disk
	name string
}

func (f *diskFile) Write(b []byte) (int, error) {
	f.set(func(d *disk) { d.files[f.name] = append(d.files[f.name], b...) })
	return len(b), nil
}

func (f *diskFile) Close() error { return nil }

// withDisks gives each host of a new cluster a disk in memory.
func withDisks(t *testing.T, pause time.Duration, options ...masticcontrol.Option) (*cluster, map[string]*disk) {
	c := newCluster(t, three, options...)
	disks := map[string]*disk{}
	for _, name := range three {
		d := newDisk()
		d.pause = pause
		disks[name] = d
		c.nodes[name].options = []masticcontrol.Option{masticcontrol.WithStoreOptions(masticstore.WithFileSystem(d))}
		t.Cleanup(d.release)
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
	before := leader.count()
	const callers, each = 64, 10
	var done sync.WaitGroup
	for i := range callers {
		done.Add(1)
		r := &reserver{cluster: c, agent: a, number: i, each: each, done: &done}
		go r.run()
	}
	done.Wait()
	syncs := leader.count() - before
	t.Logf("%d commits took %d syncs on the leader", callers*each, syncs)
	q.Assert(syncs < callers*each/2, quicktest.IsTrue)
}

func (d *disk) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.syncs
}

// reserver reserves some orders of its own.
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
	l := c.load(agents...)
	l.progress(c, 5)
	old := c.leader(agents[0])
	disks[old].set(func(d *disk) { d.failing = true })
	c.eventually("the host stops", c.nodes[old].stopped)
	q.Assert(c.nodes[old].err, quicktest.ErrorMatches, "(?s).*the disk failed.*")
	l.progress(c, 5)
	l.check(c, agents[1])
}

func TestFrozenLeaderUnderLoad(t *testing.T) {
	c, disks := withDisks(t, 0)
	agents := []*client{c.agent(1), c.agent(2)}
	c.publish(agents[0], "first", baseChange(2))
	l := c.load(agents...)
	for range 3 {
		l.progress(c, 5)
		old := c.leader(agents[0])
		disks[old].hold()
		l.progress(c, 5)
		disks[old].release()
	}
	l.check(c, agents[1])
}
