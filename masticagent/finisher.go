package masticagent

import (
	"context"
	"time"

	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticring"
)

const finisherOrders = 4096

// finisher ends reservations and holds in the background: releases of reservations that may
// be committed although this host gave up on them, records whose caller had no answer in
// time, and ends of holds.
type finisher struct {
	agent *Agent
	work  *masticring.Ring[finishing]
}

// finishing is a release, record or end of a hold that is repeated until it is done or its deadline has passed.
type finishing struct {
	command  *masticproto.Command
	deadline time.Time
}

func newFinisher(a *Agent) *finisher {
	return &finisher{agent: a, work: masticring.New[finishing]("reservations and holds to end", finisherOrders)}
}

// add takes a reservation or hold to end. One that finds no room ends at its deadline, a
// reservation with an unknown outcome.
func (f *finisher) add(w finishing) {
	if err := f.work.Offer(w); err != nil {
		f.agent.log.WithError(err).Warn("a reservation or hold is not ended; it ends at its deadline")
	}
}

func (f *finisher) run(ctx context.Context) {
	defer f.agent.running.Done()
	for w := range f.work.Out() {
		if !masticclock.Now().Before(w.deadline) || f.finish(ctx, w) || ctx.Err() != nil {
			continue
		}
		f.add(w)
		sleep(ctx, f.agent.retryPause)
	}
}

// finish reports whether nothing is left to do. A release is repeated until it has an
// effect, because its reservation may be committed later.
func (f *finisher) finish(ctx context.Context, w finishing) bool {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	answer, err := f.agent.command(ctx, w.command, f.agent.attempt)
	if err != nil {
		return final(err)
	}
	return answer.GetDone() || w.command.GetRelease() == nil
}
