package masticcourse

import (
	"masticladder/masticdocument"
	"masticladder/masticproto"
)

// viewChange returns the change that puts d.
func viewChange(d masticdocument.Document) *masticproto.ViewChange {
	return &masticproto.ViewChange{Document: d.ToProto()}
}
