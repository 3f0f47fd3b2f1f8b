package masticdaemon

import (
	"context"
	"time"

	"masticladder/masticproto"
)

const (
	// joinInterval is the time between two requests to be made a voter.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one such request.
	joinTimeout = 2 * time.Second
)

// joiner has this control host made a voter whenever it is none.
type joiner struct {
	node    *Node
	stopped chan struct{}
}

// run is an actor.
func (j *joiner) run() error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-j.stopped:
			return nil
		case <-ticker.C:
		}
		if j.node.control.joined() {
			continue
		}
		j.join()
	}
}

func (j *joiner) stop(error) { close(j.stopped) }

func (j *joiner) join() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	peer := j.node.settings.Peer
	err := j.node.agent.Operator().ChangeMember(ctx, peer, &masticproto.Member{Id: peer, Address: peer, Voter: true})
	j.node.log.WithField("host", peer).WithField("cause", err).Info("asked to be a voter of control")
}
