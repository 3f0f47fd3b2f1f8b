package masticcontrol_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticagent"
	"masticladder/masticcontrol"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticstore"
)

var fullDiskSeeds = flag.Int("full-disk-seeds", 1, "seeds of the soak of disks that are full in turn")

const (
	// fullDiskSteps is the number of full disks of one soak.
	fullDiskSteps = 10
	// maxFullMillis and maxPauseMillis bound how long a disk is full and how long none is.
	maxFullMillis, maxPauseMillis = 1200, 400
	// soakReopenDelay is the time after which control is opened again, as in masticdaemon.
	soakReopenDelay = 500 * time.Millisecond
	// soakJoinInterval and soakJoinTimeout are those with which a host that is no voter asks to be one, as in masticdaemon.
	soakJoinInterval, soakJoinTimeout = 300 * time.Millisecond, 2 * time.Second
	// soakDocumentBytes is the size of the large changes beside the full disks.
	soakDocumentBytes = 60 << 10
)

// reopener runs control of one host and opens it again after each failure, until it is stopped.
type reopener struct {
	cluster *cluster
	node    *node
	members []*masticproto.Member
	// joiner asks for the host, own, to be made a voter.
	joiner  *client
	own     *masticproto.Member
	stopped chan struct{}
	running sync.WaitGroup
	// openings is the number of times that control was opened or failed to open.
	openings atomic.Int64

	mutex   sync.Mutex
	control *masticcontrol.Control
	failure error
}

func (c *cluster) reopen(name string, joiner *client, members []*masticproto.Member) *reopener {
	own := &masticproto.Member{Id: name, Voter: true, Address: c.nodes[name].relay.address()}
	r := &reopener{cluster: c, node: c.nodes[name], joiner: joiner, own: own, members: members, stopped: make(chan struct{})}
	r.running.Add(2)
	go r.run()
	go r.joinLoop()
	return r
}

// joinLoop asks for the host to be made a voter while it is none. A leader that was restarted after it demoted a host without
// files does not know that the host is to be promoted again.
func (r *reopener) joinLoop() {
	defer r.running.Done()
	for {
		select {
		case <-r.stopped:
			return
		case <-time.After(soakJoinInterval):
		}
		if r.isOpen() && !r.joined() {
			r.join()
		}
	}
}

func (r *reopener) join() {
	ctx, cancel := context.WithTimeout(context.Background(), soakJoinTimeout)
	defer cancel()
	_ = r.joiner.Operator().ChangeMember(ctx, r.own.GetId(), r.own)
}

func (r *reopener) isOpen() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.control != nil
}

func (r *reopener) run() {
	defer r.running.Done()
	for r.keep(r.runOnce()) {
		select {
		case <-r.stopped:
		case <-time.After(soakReopenDelay):
		}
	}
}

// runOnce opens control and runs it until it ends.
func (r *reopener) runOnce() error {
	r.openings.Add(1)
	control, err := r.cluster.open(r.node, r.members...)
	if err != nil {
		return err
	}
	if !r.set(control) {
		control.Stop(nil)
	}
	r.node.relay.setTarget(control.Address())
	err = control.Run()
	r.set(nil)
	r.node.relay.cut()
	return err
}

// keep reports whether control is to be opened again after err. Any failure other than a full disk is recorded.
func (r *reopener) keep(err error) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil && !masticstore.IsNoSpace(err) {
		r.failure = err
	}
	return !r.isStopped()
}

func (r *reopener) isStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// set sets the control that runs. It returns false if the reopener is stopped.
func (r *reopener) set(control *masticcontrol.Control) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.control = control
	return !r.isStopped()
}

func (r *reopener) stop() {
	r.mutex.Lock()
	close(r.stopped)
	control := r.control
	r.mutex.Unlock()
	if control != nil {
		control.Stop(nil)
	}
	r.running.Wait()
}

func (r *reopener) joined() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.control != nil && r.control.Joined()
}

func (r *reopener) err() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failure
}

// documentWriter puts one large document after another until it is stopped.
type documentWriter struct {
	cluster *cluster
	agent   *client
	ended   context.Context
	running sync.WaitGroup
	// acknowledged is the number of the last document that was acknowledged.
	acknowledged int64
}

func (w *documentWriter) run() {
	defer w.running.Done()
	for n := int64(1); w.ended.Err() == nil; n++ {
		for w.ended.Err() == nil {
			if w.cluster.tryDocument(w.agent, n, soakDocumentBytes) == nil {
				w.acknowledged = n
				break
			}
		}
		select {
		case <-w.ended.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// fullDiskSoak fills the disks of control hosts in turn, beside changes, restarts, lost folders and changes of leader.
type fullDiskSoak struct {
	*cluster
	random  *rand.Rand
	disks   map[string]*disk
	hosts   map[string]*reopener
	agents  []*client
	emptied string
	joiner  *client
}

func newFullDiskSoak(t *testing.T, hosts int, seed uint64) *fullDiskSoak {
	names := make([]string, hosts)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	c := newCluster(t, names, masticcontrol.WithDiskBytes(testDiskBytes), masticcontrol.WithSnapshotEntries(40, 10))
	s := &fullDiskSoak{cluster: c, random: rand.New(rand.NewPCG(seed, uint64(hosts))), disks: map[string]*disk{}, hosts: map[string]*reopener{}, joiner: c.agent(90)}
	for _, name := range names {
		d := newDisk()
		d.set(func(d *disk) { d.capacity = testDiskBytes })
		s.disks[name] = d
		c.nodes[name].options = []masticcontrol.Option{masticcontrol.WithStoreOptions(masticstore.WithFileSystem(d))}
		s.hosts[name] = c.reopen(name, s.joiner, c.members())
	}
	t.Cleanup(s.stop)
	return s
}

func (s *fullDiskSoak) stop() {
	for _, h := range s.hosts {
		h.stop()
	}
}

// restart ends the process of a host and starts it again, without its files if emptied.
func (s *fullDiskSoak) restart(name string, emptied bool) {
	s.hosts[name].stop()
	if err := s.hosts[name].err(); err != nil {
		s.t.Errorf("%s: %v", name, err)
	}
	members := s.members()
	if emptied {
		s.disks[name].set(func(d *disk) { clear(d.files) })
		members = nil
	}
	s.hosts[name] = s.reopen(name, s.joiner, members)
}

// leaderName returns the current leader, "" if no agent reaches one at once.
func (s *fullDiskSoak) leaderName() string {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	status, _ := s.agents[0].Operator().Status(ctx)
	return status.Leader
}

// step fills the disk of one host for some time.
func (s *fullDiskSoak) step(number int) {
	name := s.names[number%len(s.names)]
	if l := s.leaderName(); s.random.IntN(3) == 0 && slices.Contains(s.names, l) {
		name = l
	}
	other := s.names[s.random.IntN(len(s.names))]
	kind := s.random.IntN(6)
	s.t.Logf("step %d: disk of %s full, kind %d, other %s", number, name, kind, other)
	d := s.disks[name]
	d.set(func(d *disk) { d.full, d.snapshotsFull = kind != 5, kind == 5 })
	s.pause(maxFullMillis / 2)
	switch kind {
	case 1:
		s.restart(name, false)
	case 2:
		s.restart(other, false)
	case 3:
		s.empty(name)
	case 4:
		s.isolate(other, s.network.block)
		s.pause(maxFullMillis / 2)
		s.isolate(other, s.network.unblock)
	}
	s.pause(maxFullMillis / 2)
	d.set(func(d *disk) { d.full, d.snapshotsFull = false, false })
	s.pause(maxPauseMillis)
}

// empty empties a folder, unless one that was emptied before is not a voter's yet.
func (s *fullDiskSoak) empty(name string) {
	for _, n := range s.names {
		if n != name && !s.hosts[n].joined() {
			return
		}
	}
	if s.emptied != "" && !s.hosts[s.emptied].joined() {
		return
	}
	s.emptied = name
	s.restart(name, true)
}

func (s *fullDiskSoak) pause(maxMillis int) {
	time.Sleep(time.Duration(s.random.IntN(maxMillis)) * time.Millisecond)
}

// checkRecovered requires a change through each host, within recoveryTimeout from now.
func (s *fullDiskSoak) checkRecovered() {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	began := time.Now()
	for i, name := range s.names {
		a := s.agentOf(i, name)
		for err := error(masticerror.New(masticerror.KindInternal, "not tried")); err != nil && ctx.Err() == nil; {
			try, done := context.WithTimeout(ctx, time.Second)
			_, err = a.Operator().Publish(try, "recovered-"+name, 0, workspaceChange("recovered-"+name))
			done()
			if ctx.Err() != nil {
				s.t.Errorf("no change through %s within %v after the last disk had room again: %v", name, recoveryTimeout, err)
			}
		}
		for !s.hosts[name].joined() && ctx.Err() == nil {
			time.Sleep(testPollInterval)
		}
		if !s.hosts[name].joined() {
			s.t.Errorf("%s is no voter within %v after the last disk had room again", name, recoveryTimeout)
		}
	}
	s.t.Logf("a change through each of %d hosts after %v", len(s.names), time.Since(began))
}

// agentOf starts an agent that knows one control host.
func (s *fullDiskSoak) agentOf(number int, name string) *client {
	names := s.names
	defer func() { s.names = names }()
	s.names = []string{name}
	return s.agent(100+number, masticagent.WithHost(hostName(100+number)))
}

func runFullDiskSoak(t *testing.T, hosts int, seed uint64) {
	q := quicktest.New(t)
	s := newFullDiskSoak(t, hosts, seed)
	s.agents = []*client{s.agent(1), s.agent(2)}
	s.publish(s.agents[0], "first", baseChange(2))
	l := s.startLoad(s.agents...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &documentWriter{cluster: s.cluster, agent: s.agents[1], ended: ctx}
	w.running.Add(1)
	go w.run()
	for i := range fullDiskSteps {
		s.step(i)
	}
	s.checkRecovered()
	cancel()
	w.running.Wait()
	number, _, err := s.agents[0].ReadDocument(s.context())
	q.Assert(err, quicktest.IsNil)
	q.Assert(number >= w.acknowledged, quicktest.IsTrue, quicktest.Commentf("document %d acknowledged, %d read", w.acknowledged, number))
	t.Logf("%d documents acknowledged", w.acknowledged)
	l.check(s.cluster, s.agents[1])
	for name, h := range s.hosts {
		q.Check(h.err(), quicktest.IsNil, quicktest.Commentf("%s", name))
	}
}

// TestDisksFullInTurnRefuseChangesForGood: disks that are full one after another, also while their hosts open files, lead, vote, receive
// snapshots or come back empty, cost changes only until there is room again.
func TestDisksFullInTurnRefuseChangesForGood(t *testing.T) {
	for seed := range *fullDiskSeeds {
		for _, hosts := range []int{3, 5, 9} {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed+1), func(t *testing.T) {
				t.Parallel()
				runFullDiskSoak(t, hosts, uint64(seed+1))
			})
		}
	}
}
