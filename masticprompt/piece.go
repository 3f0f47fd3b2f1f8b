package masticprompt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"masticladder/masticcall"
)

// PieceTokens is the length at which a level is cut into pieces, in tokens.
const PieceTokens = 4000

// PieceID identifies a piece together with everything before it.
type PieceID [16]byte

// String returns the identifier in hexadecimal.
func (p PieceID) String() string { return hex.EncodeToString(p[:]) }

// Hash returns 64 bits of the identifier.
func (p PieceID) Hash() uint64 { return binary.BigEndian.Uint64(p[:8]) }

// Piece is a part of a prompt.
type Piece struct {
	ID     PieceID
	Tokens int64
	// Level is the index of the prompt's level that the piece belongs to.
	Level int
	// Last reports that the piece ends its level.
	Last bool
}

// Prompt is a prompt cut into pieces, not yet bound to a seed. It is immutable.
type Prompt struct {
	links []link
	// tokens is the length of all pieces.
	tokens int64
	levels int
}

// link is the chained digest of the text up to the end of a piece.
type link struct {
	chain  [sha256.Size]byte
	tokens int64
	level  int
	last   bool
}

// Cut returns the pieces of levels: one cut at the end of each level and one after
// every PieceTokens estimated tokens within it.
func Cut(levels []masticcall.Level) Prompt {
	var p Prompt
	for _, l := range levels {
		p = p.WithLevel(l)
	}
	return p
}

// WithLevel returns a copy with one more level at the end.
func (p Prompt) WithLevel(l masticcall.Level) Prompt {
	var chain [sha256.Size]byte
	if len(p.links) > 0 {
		chain = p.links[len(p.links)-1].chain
	}
	p.links = slices.Clone(p.links)
	if l.Tokens > 0 {
		p.links = append(p.links, link{next(chain, l.Role, l.Text, true), l.Tokens, p.levels, true})
		p.tokens += l.Tokens
		p.levels++
		return p
	}
	for start := 0; start == 0 || start < len(l.Text); {
		end := pieceEnd(l.Text, start)
		last := end == len(l.Text)
		chain = next(chain, l.Role, l.Text[start:end], last)
		tokens := EstimateTokens(l.Text[start:end])
		p.links = append(p.links, link{chain, tokens, p.levels, last})
		p.tokens += tokens
		start = max(end, 1)
	}
	p.levels++
	return p
}

// next hashes one piece onto the chain. The end of a level is part of the hash, so
// that two levels never have the identifiers of one level with the joined text.
func next(chain [sha256.Size]byte, role, text string, last bool) [sha256.Size]byte {
	h := sha256.New()
	_, _ = h.Write(chain[:])
	writeField(h, role)
	writeField(h, text)
	if last {
		_, _ = h.Write([]byte{1})
	}
	var d [sha256.Size]byte
	h.Sum(d[:0])
	return d
}

// Tokens returns the estimated length of the prompt.
func (p Prompt) Tokens() int64 { return p.tokens }

// Levels returns the number of levels.
func (p Prompt) Levels() int { return p.levels }

// Pieces returns the pieces with their identifiers under seed s.
func (p Prompt) Pieces(s Seed) []Piece {
	seed := s.digest()
	out := make([]Piece, len(p.links))
	var in [2 * sha256.Size]byte
	copy(in[:], seed[:])
	for i, l := range p.links {
		copy(in[sha256.Size:], l.chain[:])
		d := sha256.Sum256(in[:])
		out[i] = Piece{ID: PieceID(d[:16]), Tokens: l.tokens, Level: l.level, Last: l.last}
	}
	return out
}
