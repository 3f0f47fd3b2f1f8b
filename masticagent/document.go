package masticagent

import (
	"context"

	"masticladder/masticproto"
)

// PutDocument has control commit a document. It returns the number in force. The same
// document may be put again. Errors: conflict, badRequest, noQuorum, outcomeUnknown.
func (a *Agent) PutDocument(ctx context.Context, d *masticproto.Document, content []byte) (int64, error) {
	command := &masticproto.Command{Kind: &masticproto.Command_Document{Document: &masticproto.PutDocument{
		Document: d, Content: content,
	}}}
	answer, err := a.command(ctx, command, a.attempt)
	return int64(answer.GetRevision()), err
}

// NameWeights has control commit a version of a model's weights.
func (a *Agent) NameWeights(ctx context.Context, model string, version int64) error {
	command := &masticproto.Command{Kind: &masticproto.Command_Weights{Weights: &masticproto.NameWeights{
		Model: model, Version: version,
	}}}
	_, err := a.command(ctx, command, a.attempt)
	return err
}

// ReadDocument returns the newest document as it was sent, with the leader's proof that it
// is the newest.
func (a *Agent) ReadDocument(ctx context.Context) (int64, []byte, error) {
	q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Document{Document: &masticproto.DocumentRequest{}}}
	answer, err := a.leader.ask(ctx, q, a.attempt)
	if err != nil {
		return 0, nil, err
	}
	d := answer.answer.GetDocument()
	return d.GetNumber(), d.GetContent(), nil
}

// Found replaces the peer addresses of the control hosts that this host was started with.
func (a *Agent) Found(peers []string) { a.leader.found(peers) }

// Reached reports whether control answered this host within the last lease span.
func (a *Agent) Reached() bool { return a.views.reached() }
