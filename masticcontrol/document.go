package masticcontrol

import (
	"masticladder/masticdocument"
	"masticladder/masticproto"
	"masticladder/masticquota"
	"masticladder/masticview"
)

// readDocument answers with the newest document as it was uploaded. The leader's lease was
// checked after the call arrived, which proves that no newer document was acknowledged before the
// call.
func (l *loop) readDocument(c *call) {
	number, content := l.state.Document()
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Document{Document: &masticproto.DocumentAnswer{
		Number: number, Content: content,
	}}})
}

// documentIndexCache caches the index of the document of the newest view.
type documentIndexCache struct {
	source *masticproto.Document
	index  *masticdocument.Index
}

// indexOf returns the index of the document of v, or nil if there is none.
func (c *documentIndexCache) indexOf(v masticview.View) *masticdocument.Index {
	if v.Document() == c.source {
		return c.index
	}
	c.source, c.index = v.Document(), nil
	if document, err := masticdocument.FromProto(c.source); err == nil {
		c.index = masticdocument.NewIndex(document)
	}
	return c.index
}

// documentLimit returns the rate and burst that the document sets for a workspace, with
// quotaSlack added to the burst. It reports false if the document does not set them.
func (l *loop) documentLimit(workspace string) (masticquota.Limit, bool) {
	index := l.documentIndex.indexOf(l.state.View())
	if index == nil {
		return masticquota.Limit{}, false
	}
	t, ok := index.Workspace(workspace)
	if !ok {
		return masticquota.Limit{}, false
	}
	return masticquota.Limit{RateTokensPerSecond: t.RateTokensPerSecond, RateMilliTokensPerSecond: t.RateMilliTokensPerSecond, BurstTokens: t.BurstTokens + l.quotaSlack}, ok
}

// documentWorkspaces returns the names of the workspaces in the document.
func (l *loop) documentWorkspaces() []string {
	var names []string
	for _, t := range l.state.View().Document().GetTenants() {
		names = append(names, t.GetName())
	}
	return names
}
