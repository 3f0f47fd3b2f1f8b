package masticcontrol

import (
	"sync"
	"time"

	"masticladder/masticerror"
	"masticladder/masticring"
	"masticladder/masticstate"
)

// compactor encodes snapshots of the state outside of the loop, one at a time.
type compactor struct {
	work    *masticring.Ring[frozenState]
	done    *masticring.Ring[encodedSnapshot]
	running sync.WaitGroup
	// busy reports that a snapshot is being encoded. Only the loop accesses it.
	busy bool
}

// frozenState is an immutable copy of the state as of the entry at index.
type frozenState struct {
	index uint64
	state masticstate.Frozen
}

// encodedSnapshot is an encoded snapshot of the state as of the entry at index.
type encodedSnapshot struct {
	index uint64
	data  []byte
}

func newCompactor() *compactor {
	return &compactor{
		work: masticring.New[frozenState]("states to encode", 1),
		done: masticring.New[encodedSnapshot]("encoded states", 1),
	}
}

func (c *compactor) start() {
	c.running.Add(1)
	go c.run()
}

func (c *compactor) run() {
	defer c.running.Done()
	for f := range c.work.Out() {
		_ = c.done.Offer(encodedSnapshot{index: f.index, data: f.state.Bytes()})
	}
}

func (c *compactor) stop() {
	c.work.Close()
	c.running.Wait()
	c.done.Close()
}

// startSnapshot starts encoding a snapshot if the log is due for compaction.
func (l *loop) startSnapshot(now time.Time) {
	if !l.compactionDue(now) {
		return
	}
	f := frozenState{index: l.status.Applied, state: l.state.Freeze()}
	l.compactor.busy = l.compactor.work.Offer(f) == nil
}

// compact stores an encoded snapshot and truncates the log before it. A snapshot older than one
// already received from the leader is ignored.
func (l *loop) compact(now time.Time, e encodedSnapshot) error {
	l.compactor.busy = false
	snapshot, err := l.core.Compact(e.index, e.data)
	if masticerror.KindOf(err) == masticerror.KindConflict {
		return nil
	}
	if err != nil {
		return err
	}
	l.stateBytes = int64(len(e.data))
	return l.storeSnapshot(now, snapshot)
}
