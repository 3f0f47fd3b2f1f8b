package masticcontrol

import (
	"masticladder/masticdocument"
	"masticladder/masticproto"
	"masticladder/masticquota"
	"masticladder/masticview"
)

// readDocument answers the newest document as it was sent. The leader's lease, which was
// checked after the call came in, proves that none newer was acknowledged before the call.
func (l *loop) readDocument(c *call) {
	number, content := l.state.Document()
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Document{Document: &masticproto.DocumentAnswer{
		Number: number, Content: content,
	}}})
}

// documents keeps the compiled form of the document of the newest view.
type documents struct {
	source *masticproto.Document
	index  *masticdocument.Index
}

// of returns the compiled document of v, or nil where there is none.
func (d *documents) of(v masticview.View) *masticdocument.Index {
	if v.Document() == d.source {
		return d.index
	}
	d.source, d.index = v.Document(), nil
	if document, err := masticdocument.FromProto(d.source); err == nil {
		d.index = masticdocument.NewIndex(document)
	}
	return d.index
}

// documentLimit returns the rate and burst that the document states for a workspace.
func (l *loop) documentLimit(workspace string) (masticquota.Limit, bool) {
	index := l.documents.of(l.state.View())
	if index == nil {
		return masticquota.Limit{}, false
	}
	t, ok := index.Tenant(workspace)
	if !ok {
		return masticquota.Limit{}, false
	}
	return masticquota.Limit{RateTokensPerSecond: t.RateTokensPerSecond, BurstTokens: t.BurstTokens + l.quotaSlack}, ok
}

// documentTenants returns the names of the workspaces that the document states.
func (l *loop) documentTenants() []string {
	var names []string
	for _, t := range l.state.View().Document().GetTenants() {
		names = append(names, t.GetName())
	}
	return names
}
