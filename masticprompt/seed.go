// Package masticprompt splits a prompt into pieces and identifies each piece by a chained
// hash, so that equal prefixes have equal identifiers.
package masticprompt

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Seed is the scope of piece identifiers: pieces of two prompts can have equal identifiers
// only if their seeds are equal.
type Seed struct {
	Workspace, Model, Adapter, WeightsVersion string
}

// digest returns a hash of the length-prefixed fields.
func (s Seed) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, f := range []string{s.Workspace, s.Model, s.Adapter, s.WeightsVersion} {
		writeField(h, f)
	}
	var d [sha256.Size]byte
	h.Sum(d[:0])
	return d
}

func writeField(h hash.Hash, value string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(value)))
	_, _ = h.Write(n[:])
	_, _ = h.Write([]byte(value))
}
