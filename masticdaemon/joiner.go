package masticdaemon

import (
	"context"
	"time"

	"masticladder/masticproto"
)

const (
	// joinInterval is the time between two requests to become a voter.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one such request.
	joinTimeout = 2 * time.Second
)

// joiner requests voter membership for this control host whenever the host has not joined the
// control group.
type joiner struct {
	node *Node
	// context ends when the joiner is stopped.
	context context.Context
	cancel  context.CancelFunc
}

func newJoiner(n *Node) *joiner {
	j := &joiner{node: n}
	j.context, j.cancel = context.WithCancel(context.Background())
	return j
}

// run is the execute function of the joiner's actor.
func (j *joiner) run() error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-j.context.Done():
			return nil
		case <-ticker.C:
		}
		if j.node.control.joined() {
			continue
		}
		j.requestVoterMembership()
	}
}

func (j *joiner) stop(error) { j.cancel() }

func (j *joiner) requestVoterMembership() {
	ctx, cancel := context.WithTimeout(j.context, joinTimeout)
	defer cancel()
	peer := j.node.settings.Peer
	err := j.node.agent.Operator().ChangeMember(ctx, peer, &masticproto.Member{Id: peer, Address: peer, Voter: true})
	j.node.log.WithField("host", peer).WithField("cause", err).Info("promotion to voter requested; cause is set if the request failed")
}
