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

// loop owns the core, the store and the state. Each batch takes the queued inputs, makes their
// changes durable with one sync, and answers.
type loop struct {
	settings
	core        *masticquorum.Core
	store       *masticstore.Store
	state       *masticstate.State
	queues      callQueues
	watches     *masticring.Ring[*watch]
	messages    *masticring.Ring[*masticproto.PeerRequest]
	orders      *masticring.Ring[loadOrder]
	failedLoads *masticring.Ring[loadOrder]
	stopping    chan struct{}
	stopOnce    sync.Once

	peers     *peers
	status    masticquorum.Status
	proposals map[uint64]proposal
	// openReports is the number of proposals that are reports.
	openReports int
	// callBudget is the time after which a batch takes no further commands and reports.
	callBudget      time.Duration
	replacedMembers replacedMembers
	compactor       *compactor
	watchers        map[*watch]struct{}
	leader          *leaderState
	lastCommitted   time.Time
	space           space
	stateBytes      int64
	documentIndex   documentIndexCache
	// viewChanged reports that the view has changed since pushedRevision and that the watchers
	// have not been sent the change yet.
	viewChanged    bool
	pushedRevision uint64
	// fullView is the full update to the view of fullViewRevision, for hosts without a view or
	// too far behind.
	fullView         *masticproto.ViewUpdate
	fullViewRevision uint64
	// nextPush is the earliest time of the next push to the watchers.
	nextPush time.Time
	// suspectUpdates are the messages with suspects to the watchers and in answers to renewals.
	suspectUpdates suspectUpdates
	listReader     *listReader
	relay          *renewalRelay
	// batchTime is the time of the current batch, deadline the time at which the next one is due.
	batchTime, deadline time.Time
	// joined reports that this host is a voter, with its present storage, and knows the leader.
	joined atomic.Bool

	// startedAt is when the loop was created. heardLeader reports that a leader was known since, or that maxReplay has passed.
	startedAt   time.Time
	heardLeader bool
	// loggedIndex is the last index of the log when the loop was created. caughtUp reports that all entries up to it were applied, and
	// all that a leader had stated to be committed.
	loggedIndex uint64
	caughtUp    bool
	// unfinished reports that committed entries are left to the next batch, applyTime is the time that the current one has spent on
	// them.
	unfinished bool
	applyTime  time.Duration

	// background is cancelled when the loop ends. backgroundTasks counts the list reader and the
	// senders of load orders.
	background       context.Context
	cancelBackground context.CancelFunc
	backgroundTasks  sync.WaitGroup
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
		startedAt:       masticclock.Now(),
		loggedIndex:     core.Status(masticclock.Now()).LastIndex,
		settings:        s,
		space:           space{diskBytes: s.diskBytes},
		core:            core,
		store:           store,
		state:           state,
		queues:          newCallQueues(),
		callBudget:      callBudget,
		watches:         masticring.New[*watch]("watches of control", DefaultCallQueueSize),
		orders:          masticring.New[loadOrder]("load orders", maxQueuedLoadOrders),
		failedLoads:     masticring.New[loadOrder]("failed load orders", maxQueuedLoadOrders),
		messages:        masticring.New[*masticproto.PeerRequest]("messages of the log", DefaultMessageQueueSize),
		stopping:        make(chan struct{}),
		peers:           newPeers(s.wire, s.log),
		proposals:       map[uint64]proposal{},
		compactor:       newCompactor(),
		replacedMembers: replacedMembers{members: loaded.Snapshot.GetMembers().GetMembers()},
		watchers:        map[*watch]struct{}{},
		stateBytes:      int64(len(loaded.Snapshot.GetData())),
	}
	l.background, l.cancelBackground = context.WithCancel(context.Background())
	l.listReader = newListReader(l, s.lister, s.listInterval)
	l.relay = newRenewalRelay(l)
	return l, nil
}

func (l *loop) stop() { l.stopOnce.Do(l.closeStopping) }

func (l *loop) closeStopping() { close(l.stopping) }

// run processes batches until stop is called or the store fails.
func (l *loop) run() error {
	defer l.shutDown()
	l.startBackground()
	l.compactor.start()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		first := &batch{loop: l}
		select {
		case m := <-l.messages.Out():
			first.messages = append(first.messages, m)
		case c := <-l.queues.urgent.Out():
			first.urgent = append(first.urgent, c)
		case c := <-l.queues.commands.Out():
			first.commands = append(first.commands, c)
		case c := <-l.reportsOut():
			first.reports = append(first.reports, c)
		case w := <-l.watches.Out():
			first.watches = append(first.watches, w)
		case o := <-l.failedLoads.Out():
			first.failedLoads = append(first.failedLoads, o)
		case r := <-l.relay.answered.Out():
			first.relayed = append(first.relayed, r)
		case listing := <-l.listReader.lists.Out():
			first.listing = &listing
		case e := <-l.compactor.done.Out():
			first.encoded = append(first.encoded, e)
		case <-timer.C:
		case <-l.stopping:
			l.resign()
			return nil
		}
		if err := first.run(); err != nil {
			l.recordFailure(err)
			return err
		}
		l.deadline = l.nextDeadline()
		timer.Reset(masticclock.Until(l.deadline))
	}
}

// storeRole makes this host's role visible to other goroutines.
func (l *loop) storeRole() {
	l.listReader.leading.Store(l.status.LeaseHeld)
	l.relay.setLeader(l.status)
	l.counters.recordRole(l.status.Term, l.status.LeaseHeld)
	l.joined.Store(l.status.Voter && l.status.Leader != "")
}

func (l *loop) startBackground() {
	if l.lister != nil {
		l.backgroundTasks.Add(1)
		go l.listReader.run()
	}
	l.backgroundTasks.Add(1)
	go l.relay.run()
	for range l.loadSenders {
		l.backgroundTasks.Add(1)
		s := &loadSender{loop: l, orders: l.orders}
		go s.run()
	}
}

// resignDelay is the time for the resignation to reach the other members: its messages are sent
// on connections that close with this host.
const resignDelay = 30 * time.Millisecond

// resign gives up leadership before this host stops, so that the other members need not wait for
// an election timeout.
func (l *loop) resign() {
	if !l.status.Leading || len(l.status.Peers) == 0 {
		return
	}
	now := masticclock.Now()
	l.core.Resign(now)
	if err := l.advance(now); err != nil {
		l.log.WithError(err).Warn("resignation not sent")
		return
	}
	l.log.WithField("term", l.status.Term).Info("resigned as leader: this host stops")
	time.Sleep(resignDelay)
}

func (l *loop) nextDeadline() time.Time {
	if l.unfinished {
		return masticclock.Now()
	}
	deadline := l.core.NextDeadline()
	if l.viewChanged && l.nextPush.Before(deadline) && !l.replays(masticclock.Now()) {
		deadline = l.nextPush
	}
	if due, changed := l.suspectPushDue(masticclock.Now()); changed && due.Before(deadline) {
		deadline = due
	}
	if l.leader == nil {
		return deadline
	}
	if d := l.leader.nextDeadline(); !d.IsZero() && d.Before(deadline) {
		return d
	}
	return deadline
}

// shutDown answers all accepted calls: the outcome of proposed commands is unknown, and calls
// still queued were not run.
func (l *loop) shutDown() {
	for _, q := range l.queues.all() {
		q.Close()
	}
	l.watches.Close()
	l.messages.Close()
	l.endLeadership()
	l.cancelBackground()
	l.orders.Close()
	for _, q := range l.queues.all() {
		for c := range q.Out() {
			c.fail(masticerror.New(masticerror.KindDraining, "this control host stops"))
		}
	}
	for w := range l.watches.Out() {
		w.call.fail(masticerror.New(masticerror.KindDraining, "this control host stops"))
	}
	for w := range l.watchers {
		w.updates.Close()
	}
	l.relay.close()
	l.backgroundTasks.Wait()
	l.compactor.stop()
	l.peers.close()
	if err := l.store.Close(); err != nil {
		l.log.WithError(err).Error("closing the store failed")
	}
}
