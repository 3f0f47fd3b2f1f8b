package masticcall

import (
	"time"
)

// Addresses answers which hosts a caller should use.
type Addresses interface {
	// For returns the hosts for a workspace and until when the answer holds.
	For(workspace string, now time.Time) ([]Address, time.Time)
}

// Address is one entry host of an address answer.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int64  `json:"weight"`
}
