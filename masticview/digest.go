package masticview

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of b.
func DigestOf(b []byte) Digest { return sha256.Sum256(b) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
