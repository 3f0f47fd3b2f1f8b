package masticcontrol

import (
	"sync"

	"masticladder/masticerror"
	"masticladder/masticring"
	"masticladder/masticstate"
)

// compactor encodes snapshots of the state outside of the loop, one at a time.
type compactor struct {
	work    *masticring.Ring[frozen]
	done    *masticring.Ring[encoded]
	running sync.WaitGroup
	// busy is the loop's: a snapshot is being encoded.
	busy bool
}

// frozen is the state as of the entry at index.
type frozen struct {
	index uint64
	state masticstate.Frozen
}

// encoded is a snapshot of the state as of the entry at index.
type encoded struct {
	index uint64
	data  []byte
}

func newCompactor() *compactor {
	return &compactor{
		work: masticring.New[frozen]("states to encode", 1),
		done: masticring.New[encoded]("encoded states", 1),
	}
}

func (c *compactor) start() {
	c.running.Add(1)
	go c.run()
}

func (c *compactor) run() {
	defer c.running.Done()
	for f := range c.work.Out() {
		_ = c.done.Offer(encoded{index: f.index, data: f.state.Bytes()})
	}
}

func (c *compactor) stop() {
	c.work.Close()
	c.running.Wait()
	c.done.Close()
}

// freeze has the state encoded when enough entries were applied since the last snapshot.
func (l *loop) freeze() {
	if l.compactor.busy || l.status.Applied < l.status.SnapshotIndex+l.snapshotEntries {
		return
	}
	f := frozen{index: l.status.Applied, state: l.state.Freeze()}
	l.compactor.busy = l.compactor.work.Offer(f) == nil
}

// compact stores an encoded snapshot and drops the log before it. One that the leader's
// own snapshot has overtaken is not needed.
func (l *loop) compact(e encoded) error {
	l.compactor.busy = false
	snapshot, err := l.core.Compact(e.index, e.data)
	if masticerror.KindOf(err) == masticerror.KindConflict {
		return nil
	}
	if err != nil {
		return err
	}
	l.stateBytes = int64(len(e.data))
	l.log.WithField("index", e.index).WithField("bytes", len(e.data)).Info("log compacted")
	return l.store.Save(nil, nil, snapshot)
}
