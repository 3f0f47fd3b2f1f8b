package masticagent

import (
	"context"
	"time"

	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticring"
)

const retryQueueCapacity = 4096

// commandRetrier ends reservations and holds in the background. It sends releases of reservations that
// may be committed although this host stopped waiting for them, records whose commit was not
// confirmed in time, and ends of holds.
type commandRetrier struct {
	agent *Agent
	queue *masticring.Ring[pendingCommand]
	// ended is closed when the queue is closed and empty.
	ended chan struct{}
}

// pendingCommand is a release, a record or an end of a hold that is retried until it is committed
// or its deadline has passed.
type pendingCommand struct {
	command  *masticproto.Command
	deadline time.Time
}

func newCommandRetrier(a *Agent) *commandRetrier {
	return &commandRetrier{
		agent: a, queue: masticring.New[pendingCommand]("reservations and holds to end", retryQueueCapacity), ended: make(chan struct{}),
	}
}

// add queues a command. If the queue is full, the reservation or hold ends at its deadline, a
// reservation with an unknown outcome.
func (f *commandRetrier) add(w pendingCommand) {
	if err := f.queue.Offer(w); err != nil {
		f.agent.log.WithError(err).Warn("end of a reservation or hold was not queued; it ends at its deadline")
	}
}

func (f *commandRetrier) run(ctx context.Context) {
	defer f.agent.running.Done()
	defer close(f.ended)
	for w := range f.queue.Out() {
		if !masticclock.Now().Before(w.deadline) || f.attempt(ctx, w) || ctx.Err() != nil {
			continue
		}
		f.add(w)
		sleep(ctx, f.agent.retryDelay)
	}
}

// wait waits until the queue is closed and empty, or ctx ends.
func (f *commandRetrier) wait(ctx context.Context) {
	select {
	case <-f.ended:
	case <-ctx.Done():
	}
}

// attempt sends w once and reports whether no retry is needed. A release is retried until it has
// an effect, because its reservation may be committed later.
func (f *commandRetrier) attempt(ctx context.Context, w pendingCommand) bool {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	if w.command.GetSuspectEnd() != nil {
		// The control group learns what became of the server before another copy can get a hold.
		if err := f.agent.reporter.sendSuspects(ctx); err != nil {
			return isFinal(err)
		}
	}
	answer, err := f.agent.commit(ctx, w.command, f.agent.attemptTimeout)
	if err != nil {
		return isFinal(err)
	}
	return answer.GetDone() || w.command.GetRelease() == nil
}
