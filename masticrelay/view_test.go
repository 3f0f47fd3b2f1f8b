package masticrelay

import (
	"masticladder/masticdocument"
	"masticladder/masticproto"
)

// viewChange returns the view change that sets the document to d.
func viewChange(d masticdocument.Document) *masticproto.ViewChange {
	return &masticproto.ViewChange{Document: d.ToProto()}
}
