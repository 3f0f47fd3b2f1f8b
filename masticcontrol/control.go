// Package masticcontrol runs a control host: one loop owns the consensus core, its
// store and the state, and answers entry hosts and operators.
package masticcontrol

import (
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticquorum"
	"masticladder/masticstate"
	"masticladder/masticstore"
	"masticladder/masticwire"
)

// Control is one control host.
type Control struct {
	settings
	server  *masticwire.Server
	loop    *loop
	serving sync.WaitGroup
	failed  error
}

// New opens the data folder and binds the address. Run begins to serve.
func New(options ...Option) (*Control, error) {
	c := &Control{settings: settings{
		log:             logrus.StandardLogger(),
		electionTimeout: DefaultElectionTimeout,
		heartbeat:       DefaultHeartbeat,
		viewLease:       DefaultViewLease,
		forceMargin:     DefaultForceMargin,
		tickInterval:    DefaultTickInterval,
		snapshotEntries: DefaultSnapshotEntries,
		tailEntries:     DefaultSnapshotEntries,
		batchCalls:      DefaultBatchCalls,
		seed:            rand.Uint64(),
		counters:        &Counters{},
	}}
	for _, o := range options {
		o(&c.settings)
	}
	if c.wire == nil {
		c.wire = masticwire.New()
	}
	c.log = c.log.WithField("host", c.id)
	if err := c.open(); err != nil {
		return nil, err
	}
	return c, nil
}

// open makes the loop from what the folder holds, and binds the address.
func (c *Control) open() error {
	store, loaded, err := masticstore.Open(c.folder, c.storeOptions...)
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "open the data folder %s", c.folder)
	}
	c.loop, err = newLoop(c.settings, store, loaded)
	if err != nil {
		_ = store.Close()
		return err
	}
	c.server, err = c.wire.Listen(c.address, &service{loop: c.loop})
	if err != nil {
		_ = store.Close()
		return err
	}
	c.log.WithFields(logrus.Fields{
		"storage": loaded.Storage,
		"fresh":   loaded.Fresh,
		"entries": len(loaded.Entries),
	}).Info("control opened its data folder")
	return nil
}

func (s *settings) newCore(loaded masticstore.Loaded) (*masticquorum.Core, error) {
	return masticquorum.New(
		masticquorum.WithID(s.id),
		masticquorum.WithStorage(loaded.Storage),
		masticquorum.WithMembers(s.members),
		masticquorum.WithHardState(loaded.Hard),
		masticquorum.WithLog(loaded.Entries),
		masticquorum.WithSnapshot(loaded.Snapshot),
		masticquorum.WithElectionTimeout(s.electionTimeout),
		masticquorum.WithHeartbeat(s.heartbeat),
		masticquorum.WithTail(s.tailEntries),
		masticquorum.WithSeed(s.seed),
		masticquorum.WithStart(masticclock.Now()),
	)
}

func newState(loaded masticstore.Loaded) (*masticstate.State, error) {
	state := masticstate.New()
	if loaded.Snapshot == nil {
		return state, nil
	}
	return state, state.Restore(loaded.Snapshot.GetData())
}

// Address returns the bound address.
func (c *Control) Address() string { return c.server.Address() }

// Joined reports whether this host votes and knows the leader. A host that has not joined
// asks the leader to be made a voter.
func (c *Control) Joined() bool { return c.loop.joined.Load() }

// Run serves until Stop or a failure of the store, which is returned.
func (c *Control) Run() error {
	c.serving.Add(1)
	s := &serverRun{control: c}
	go s.run()
	err := c.loop.run()
	c.server.Stop()
	c.serving.Wait()
	if err == nil {
		err = c.failed
	}
	return err
}

// Stop ends Run.
func (c *Control) Stop(error) { c.loop.stop() }

// serverRun accepts the connections of other hosts.
type serverRun struct{ control *Control }

func (s *serverRun) run() {
	defer s.control.serving.Done()
	s.control.failed = s.control.server.Run()
	s.control.loop.stop()
}
