package masticagent

import (
	"context"
	"time"

	"masticladder/masticproto"
	"masticladder/masticring"
)

const releaserOrders = 1024

// releaser ends reservations that may be committed although this host gave up on them.
// Each is repeated until the leader has ended it or its deadline has passed.
type releaser struct {
	agent    *Agent
	releases *masticring.Ring[abandoned]
}

// abandoned is a reservation of which nothing was or will be sent.
type abandoned struct {
	release  *masticproto.Release
	deadline time.Time
}

func newReleaser(a *Agent) *releaser {
	return &releaser{agent: a, releases: masticring.New[abandoned]("abandoned reservations", releaserOrders)}
}

// add takes a reservation to end. One that finds no room is declared unknown at its deadline.
func (r *releaser) add(b abandoned) {
	if err := r.releases.Offer(b); err != nil {
		r.agent.log.WithError(err).Warn("an abandoned reservation is not released; it ends at its deadline")
	}
}

func (r *releaser) run(ctx context.Context) {
	defer r.agent.running.Done()
	for b := range r.releases.Out() {
		if !time.Now().Before(b.deadline) || r.release(ctx, b) || ctx.Err() != nil {
			continue
		}
		r.add(b)
		sleep(ctx, r.agent.retryPause)
	}
}

// release reports whether the leader has ended the reservation.
func (r *releaser) release(ctx context.Context, b abandoned) bool {
	ctx, cancel := context.WithDeadline(ctx, b.deadline)
	defer cancel()
	command := &masticproto.Command{Kind: &masticproto.Command_Release{Release: b.release}}
	answer, err := r.agent.command(ctx, command, r.agent.attempt)
	return err == nil && answer.GetDone()
}
