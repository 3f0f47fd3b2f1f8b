package masticagent

import (
	"context"

	"masticladder/masticproto"
)

// PutDocument commits a document through the control group and returns the number of the document
// in force. It is idempotent. Errors: conflict, badRequest, noQuorum, outcomeUnknown.
func (a *Agent) PutDocument(ctx context.Context, d *masticproto.Document, content []byte) (int64, error) {
	command := &masticproto.Command{Kind: &masticproto.Command_Document{Document: &masticproto.PutDocument{
		Document: d, Content: content,
	}}}
	answer, err := a.leader.callSearching(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: command}}, a.attemptTimeout)
	if err != nil {
		return 0, err
	}
	return int64(answer.answer.GetCommand().GetRevision()), nil
}

// NameWeights commits a version of a model's weights through the control group.
func (a *Agent) NameWeights(ctx context.Context, model string, version int64) error {
	command := &masticproto.Command{Kind: &masticproto.Command_Weights{Weights: &masticproto.NameWeights{
		Model: model, Version: version,
	}}}
	_, err := a.leader.callSearching(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: command}}, a.attemptTimeout)
	return err
}

// ReadDocument returns the number and content of the newest document. The leader confirms that
// it is the newest before it answers.
func (a *Agent) ReadDocument(ctx context.Context) (int64, []byte, error) {
	q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Document{Document: &masticproto.DocumentRequest{}}}
	answer, err := a.leader.callSearching(ctx, q, a.attemptTimeout)
	if err != nil {
		return 0, nil, err
	}
	d := answer.answer.GetDocument()
	return d.GetNumber(), d.GetContent(), nil
}

// SetControlPeers replaces the configured peer addresses of the control hosts.
func (a *Agent) SetControlPeers(peers []string) {
	a.leader.setSeeds(peers)
	a.members.setSeeds(peers)
}

// ControlReachable reports whether the control group has answered a renewal of this host within
// reachableTimeout.
func (a *Agent) ControlReachable() bool { return a.views.controlReachable() }
