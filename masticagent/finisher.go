package masticagent

import (
	"context"
	"time"

	"masticladder/masticproto"
	"masticladder/masticring"
)

const finisherOrders = 4096

// finisher ends reservations in the background: releases of those that may be committed
// although this host gave up on them, and records whose caller had no answer in time.
type finisher struct {
	agent *Agent
	work  *masticring.Ring[finishing]
}

// finishing is a release or record that is repeated until it is done or its deadline has passed.
type finishing struct {
	command  *masticproto.Command
	deadline time.Time
}

func newFinisher(a *Agent) *finisher {
	return &finisher{agent: a, work: masticring.New[finishing]("reservations to end", finisherOrders)}
}

// add takes a reservation to end. One that finds no room is declared unknown at its deadline.
func (f *finisher) add(w finishing) {
	if err := f.work.Offer(w); err != nil {
		f.agent.log.WithError(err).Warn("a reservation is not ended; its outcome is unknown from its deadline on")
	}
}

func (f *finisher) run(ctx context.Context) {
	defer f.agent.running.Done()
	for w := range f.work.Out() {
		if !time.Now().Before(w.deadline) || f.finish(ctx, w) || ctx.Err() != nil {
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
