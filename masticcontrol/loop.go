package masticcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquorum"
	"masticladder/masticring"
	"masticladder/masticstate"
	"masticladder/masticstore"
)

var errWatchEnded = masticerror.New(masticerror.KindOverloaded, "the watch fell behind or the host stops")

// loop owns the core, the store and the state. A turn takes what waits, makes it
// durable with one sync, and answers.
type loop struct {
	settings
	core     *masticquorum.Core
	store    *masticstore.Store
	state    *masticstate.State
	calls    *masticring.Ring[*call]
	watches  *masticring.Ring[*watch]
	messages *masticring.Ring[*masticproto.PeerRequest]
	orders   *masticring.Ring[loadOrder]
	failures *masticring.Ring[loadOrder]
	stopping chan struct{}
	stopOnce sync.Once

	peers         *peers
	status        masticquorum.Status
	pending       map[uint64]proposal
	replaced      replaced
	compactor     *compactor
	watchers      map[*watch]struct{}
	leader        *leader
	lastCommitted time.Time
	stateBytes    int64
	documents     documents
	// changed reports that the view has changed in this turn since pushedRevision.
	changed        bool
	pushedRevision uint64
	// whole is the view of wholeRevision as it is sent to hosts that have none.
	whole         *masticproto.ViewUpdate
	wholeRevision uint64
	// pushFrom is when the watchers may be told next.
	pushFrom time.Time
	lists    *listReader
	// turnTime is the time of the running turn.
	turnTime time.Time
	// joined reports that this host votes and follows or is a leader.
	joined atomic.Bool

	// sending ends when the loop does; senders counts the goroutines that send load orders.
	sending    context.Context
	endSending context.CancelFunc
	senders    sync.WaitGroup
}

func newLoop(s settings, store *masticstore.Store, loaded masticstore.Loaded) (*loop, error) {
	core, err := s.newCore(loaded)
	if err != nil {
		return nil, err
	}
	state, err := newState(loaded)
	if err != nil {
		return nil, err
	}
	l := &loop{
		settings:   s,
		core:       core,
		store:      store,
		state:      state,
		calls:      masticring.New[*call]("calls to control", DefaultCalls),
		watches:    masticring.New[*watch]("watches of control", DefaultCalls),
		orders:     masticring.New[loadOrder]("load orders", loadOrders),
		failures:   masticring.New[loadOrder]("failed load orders", loadOrders),
		messages:   masticring.New[*masticproto.PeerRequest]("messages of the log", DefaultMessages),
		stopping:   make(chan struct{}),
		peers:      newPeers(s.wire, s.log),
		pending:    map[uint64]proposal{},
		compactor:  newCompactor(),
		replaced:   replaced{members: loaded.Snapshot.GetMembers().GetMembers()},
		watchers:   map[*watch]struct{}{},
		stateBytes: int64(len(loaded.Snapshot.GetData())),
	}
	l.sending, l.endSending = context.WithCancel(context.Background())
	l.lists = newListReader(l, s.lister, s.listInterval)
	return l, nil
}

func (l *loop) stop() { l.stopOnce.Do(l.closeStopping) }

func (l *loop) closeStopping() { close(l.stopping) }

// run takes turns until stop or a failure of the store.
func (l *loop) run() error {
	defer l.end()
	l.startSenders()
	l.compactor.start()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		first := &turn{loop: l}
		select {
		case m := <-l.messages.Out():
			first.messages = append(first.messages, m)
		case c := <-l.calls.Out():
			first.calls = append(first.calls, c)
		case w := <-l.watches.Out():
			first.watches = append(first.watches, w)
		case o := <-l.failures.Out():
			first.failures = append(first.failures, o)
		case servers := <-l.lists.found.Out():
			first.servers = servers
		case e := <-l.compactor.done.Out():
			first.encoded = append(first.encoded, e)
		case <-timer.C:
		case <-l.stopping:
			l.leave()
			return nil
		}
		if err := first.run(); err != nil {
			l.log.WithError(err).Error("the store failed; control stops")
			return err
		}
		timer.Reset(masticclock.Until(l.nextDeadline()))
	}
}

// note tells other goroutines what this host is.
func (l *loop) note() {
	l.lists.leading.Store(l.status.LeaseHeld)
	own := memberOf(l.status.Members, l.id)
	l.counters.noteRole(l.status.Term, l.status.LeaseHeld)
	l.joined.Store(own.GetVoter() && l.status.Leader != "")
}

func (l *loop) startSenders() {
	if l.lister != nil {
		l.senders.Add(1)
		go l.lists.run()
	}
	for range l.loadSenders {
		l.senders.Add(1)
		s := &loadSender{loop: l, orders: l.orders}
		go s.run()
	}
}

// resignSpan is the time that the other members need to take the resignation: the messages
// go out on connections that end with this host.
const resignSpan = 30 * time.Millisecond

// leave gives up leadership, so that the others need not wait for an election timeout.
func (l *loop) leave() {
	if !l.status.Leading || len(l.status.Peers) == 0 {
		return
	}
	now := masticclock.Now()
	l.core.Resign(now)
	if err := l.advance(now); err != nil {
		l.log.WithError(err).Warn("the resignation was not sent")
		return
	}
	l.log.WithField("term", l.status.Term).Info("leadership is given up: this host stops")
	time.Sleep(resignSpan)
}

func (l *loop) nextDeadline() time.Time {
	deadline := l.core.NextDeadline()
	if l.changed && l.pushFrom.Before(deadline) {
		deadline = l.pushFrom
	}
	if l.leader == nil {
		return deadline
	}
	if d := l.leader.nextDeadline(); !d.IsZero() && d.Before(deadline) {
		return d
	}
	return deadline
}

// end answers everything that was accepted: what was proposed is unknown, the rest was not run.
func (l *loop) end() {
	l.calls.Close()
	l.watches.Close()
	l.messages.Close()
	l.dropLeader()
	l.endSending()
	l.orders.Close()
	for c := range l.calls.Out() {
		c.fail(masticerror.New(masticerror.KindDraining, "this control host stops"))
	}
	for w := range l.watches.Out() {
		w.call.fail(masticerror.New(masticerror.KindDraining, "this control host stops"))
	}
	for w := range l.watchers {
		w.updates.Close()
	}
	l.senders.Wait()
	l.compactor.stop()
	l.peers.close()
	if err := l.store.Close(); err != nil {
		l.log.WithError(err).Error("the store was not closed")
	}
}
