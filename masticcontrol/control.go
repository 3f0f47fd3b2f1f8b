// Package masticcontrol runs a control host: a single loop owns the consensus core, its store and
// the replicated state, and answers the requests of entry hosts and operators.
package masticcontrol

import (
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticquorum"
	"masticladder/masticrollout"
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

// New opens the data folder and binds the address. Run starts serving.
func New(options ...Option) (*Control, error) {
	c := &Control{settings: settings{
		log:               logrus.StandardLogger(),
		electionTimeout:   DefaultElectionTimeout,
		heartbeatInterval: DefaultHeartbeatInterval,
		viewLeaseLifetime: DefaultViewLeaseLifetime,
		inForceMargin:     DefaultInForceMargin,
		tickInterval:      DefaultTickInterval,
		snapshotEntries:   DefaultSnapshotEntries,
		retainedEntries:   DefaultSnapshotEntries,
		diskBytes:         DefaultDiskBytes,
		batchCalls:        DefaultBatchCalls,
		seed:              rand.Uint64(),
		counters:          &Counters{},
		rolloutBounds:     masticrollout.DefaultBounds,
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

// open creates the loop from the contents of the data folder and binds the address.
func (c *Control) open() error {
	store, loaded, err := masticstore.Open(c.folder, c.storeOptions...)
	if masticstore.IsNoSpace(err) {
		c.recordFailure(err)
	}
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
	}).Info("data folder opened")
	return nil
}

func (s *settings) newCore(loaded masticstore.Loaded) (*masticquorum.Core, error) {
	var options []masticquorum.Option
	if s.membersGivenOnce {
		options = append(options, masticquorum.WithMembersGivenOnce())
	}
	return masticquorum.New(append(options,
		masticquorum.WithID(s.id),
		masticquorum.WithStorageIncarnation(loaded.Storage),
		masticquorum.WithMembers(s.members),
		masticquorum.WithHardState(loaded.HardState),
		masticquorum.WithEntries(loaded.Entries),
		masticquorum.WithSnapshot(loaded.Snapshot),
		masticquorum.WithElectionTimeout(s.electionTimeout),
		masticquorum.WithHeartbeatInterval(s.heartbeatInterval),
		masticquorum.WithRetainedEntries(s.retainedEntries),
		masticquorum.WithMaxUncommittedBytes((&space{diskBytes: s.diskBytes}).maxUncommittedBytes()),
		masticquorum.WithSeed(s.seed),
		masticquorum.WithStartTime(masticclock.Now()),
	)...)
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

// Joined reports whether this host is a voter, with its present storage, and knows the leader. A host that has not joined
// asks the leader to make it a voter.
func (c *Control) Joined() bool { return c.loop.joined.Load() }

// Run serves until Stop is called or the store fails, and returns the failure.
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

// Stop makes Run return.
func (c *Control) Stop(error) { c.loop.stop() }

// serverRun accepts the connections of other hosts.
type serverRun struct{ control *Control }

func (s *serverRun) run() {
	defer s.control.serving.Done()
	s.control.failed = s.control.server.Run()
	s.control.loop.stop()
}
