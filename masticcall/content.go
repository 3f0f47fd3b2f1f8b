package masticcall

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"

	"masticladder/masticview"
)

const (
	// MaxParts is the largest number of distinct parts of a prompt, more than fit into a header of 64 KiB. Requests with
	// more are refused, since a part that was left out could end servers without bound.
	MaxParts = 1 << 14
	// maxLoggedParts bounds the parts that a log line names.
	maxLoggedParts = 64
)

// Content is what a request may have in common with others and what backend servers work on: the whole of
// it, and the parts of its prompt.
type Content struct {
	// Digest is that of the whole request.
	Digest masticview.Digest
	// Parts are the digests of the parts of the prompt but the last, which is the request's own. They do not
	// depend on the workspace, the model and the other parts.
	Parts []masticview.Digest
}

// PartsOf returns the digests of levels but the last, each once.
func PartsOf(levels []Level) []masticview.Digest {
	if len(levels) < 2 {
		return nil
	}
	out := make([]masticview.Digest, 0, len(levels)-1)
	seen := make(map[masticview.Digest]struct{}, len(levels)-1)
	var buffer []byte
	for _, l := range levels[:len(levels)-1] {
		buffer = l.appendTo(buffer[:0])
		d := masticview.Digest(sha256.Sum256(buffer))
		if _, ok := seen[d]; !ok {
			seen[d] = struct{}{}
			out = append(out, d)
		}
	}
	return out
}

// appendTo appends what the digest of the level is computed from.
func (l Level) appendTo(b []byte) []byte {
	text := l.ID
	if text == "" {
		text = l.Text
	}
	for _, field := range []string{l.Role, text} {
		b = binary.BigEndian.AppendUint64(b, uint64(len(field)))
		b = append(b, field...)
	}
	return b
}

// ShortParts returns the parts as logs name them: the first and the last ones if there are many.
func (c Content) ShortParts() string {
	var names []string
	for i, p := range c.Parts {
		left := len(c.Parts) - i
		switch {
		case len(c.Parts) <= maxLoggedParts, i < maxLoggedParts/2, left <= maxLoggedParts/2:
			names = append(names, p.Short())
		case i == maxLoggedParts/2:
			names = append(names, fmt.Sprintf("(%d more)", len(c.Parts)-maxLoggedParts))
		}
	}
	return strings.Join(names, " ")
}
