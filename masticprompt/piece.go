package masticprompt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticcall"
)

// PartKey returns the key of a level of stated length by what cache events name: the salt and the text.
// Equal levels behind different ones have equal keys. Keys are not safe against collisions that a caller
// constructs: one makes a prompt count as cached, or not, that is not, or is.
func PartKey(salt, text string) uint64 {
	return partKey(xxhash.Sum64String(salt), xxhash.Sum64String(text))
}

func partKey(salt, text uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], salt)
	binary.LittleEndian.PutUint64(b[8:], text)
	return max(1, xxhash.Sum64(b[:]))
}

// PieceTokens is the length of the pieces that a level is cut into, in tokens.
const PieceTokens = 4000

// PieceID identifies a piece together with all text before it.
type PieceID [16]byte

// String returns the identifier in hexadecimal.
func (p PieceID) String() string { return hex.EncodeToString(p[:]) }

// Hash returns the first 64 bits of the identifier.
func (p PieceID) Hash() uint64 { return binary.BigEndian.Uint64(p[:8]) }

// Piece is a consecutive part of a prompt, within one level.
type Piece struct {
	ID     PieceID
	Tokens int64
	// Level is the index of the level that contains the piece.
	Level int
	// Last reports whether the piece is the last one of its level.
	Last bool
	// Part is the key under which cache events name the level, see PartKey. It is zero for a piece that
	// is not a whole level of stated length.
	Part uint64
}

// Prompt is a prompt cut into pieces, without the identifiers that depend on a Seed. It is
// immutable.
type Prompt struct {
	chainedPieces []chainedPiece
	// tokens is the total length of all pieces.
	tokens int64
	levels int
}

// chainedPiece is a piece with the chained digest of the prompt up to its end.
type chainedPiece struct {
	chain  [sha256.Size]byte
	tokens int64
	level  int
	last   bool
	// text is a hash of the text of a level of stated length.
	text uint64
}

// Cut splits levels into pieces: at the end of each level, and after every PieceTokens
// estimated tokens within a level.
func Cut(levels []masticcall.Level) Prompt {
	p := Prompt{chainedPieces: make([]chainedPiece, 0, len(levels))}
	for _, l := range levels {
		p.appendLevel(l)
	}
	return p
}

// WithLevel returns a copy of p with l appended. A level that states its token count is
// not split.
func (p Prompt) WithLevel(l masticcall.Level) Prompt {
	p.chainedPieces = slices.Clone(p.chainedPieces)
	p.appendLevel(l)
	return p
}

// appendLevel appends l to a prompt that nobody else has yet.
func (p *Prompt) appendLevel(l masticcall.Level) {
	var chain [sha256.Size]byte
	if len(p.chainedPieces) > 0 {
		chain = p.chainedPieces[len(p.chainedPieces)-1].chain
	}
	if l.Tokens > 0 {
		p.chainedPieces = append(p.chainedPieces, chainedPiece{extendChain(chain, l.Role, l.Text, true), l.Tokens, p.levels, true, xxhash.Sum64String(l.Text)})
		p.tokens += l.Tokens
		p.levels++
		return
	}
	for start := 0; start == 0 || start < len(l.Text); {
		end := pieceEnd(l.Text, start)
		last := end == len(l.Text)
		chain = extendChain(chain, l.Role, l.Text[start:end], last)
		tokens := EstimateTokens(l.Text[start:end])
		p.chainedPieces = append(p.chainedPieces, chainedPiece{chain, tokens, p.levels, last, 0})
		p.tokens += tokens
		start = max(end, 1)
	}
	p.levels++
}

// extendChain returns the chained digest after one more piece. The end of a level is part
// of the hash, so that two levels never get the same identifiers as one level with their
// concatenated text.
func extendChain(chain [sha256.Size]byte, role, text string, last bool) [sha256.Size]byte {
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

// Tokens returns the estimated length of the prompt in tokens.
func (p Prompt) Tokens() int64 { return p.tokens }

// Levels returns the number of levels, including empty ones.
func (p Prompt) Levels() int { return p.levels }

// Pieces returns the pieces with their identifiers for seed s.
func (p Prompt) Pieces(s Seed) []Piece {
	seed := s.digest()
	out := make([]Piece, len(p.chainedPieces))
	var input [2 * sha256.Size]byte
	copy(input[:], seed[:])
	salt := xxhash.Sum64String(masticcall.CacheSalt(s.Workspace, s.WeightsVersion))
	for i, l := range p.chainedPieces {
		copy(input[sha256.Size:], l.chain[:])
		d := sha256.Sum256(input[:])
		out[i] = Piece{ID: PieceID(d[:16]), Tokens: l.tokens, Level: l.level, Last: l.last}
		if l.text != 0 {
			out[i].Part = partKey(salt, l.text)
		}
	}
	return out
}
