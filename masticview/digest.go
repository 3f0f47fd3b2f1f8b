package masticview

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of b.
func DigestOf(b []byte) Digest { return sha256.Sum256(b) }

// shortBytes is the length of the prefix that Short returns.
const shortBytes = 6

// Short returns a prefix of the digest in hexadecimal, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortBytes]) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Compare orders digests by their bytes.
func (d Digest) Compare(o Digest) int { return bytes.Compare(d[:], o[:]) }
