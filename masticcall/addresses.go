package masticcall

import (
	"time"
)

// Addresses returns the hosts that a caller should use.
type Addresses interface {
	// For returns the hosts for a workspace and the time at which the list expires.
	For(workspace string, now time.Time) ([]Address, time.Time)
}

// Address is one host of an address list, which accepts requests from callers.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int64  `json:"weight"`
}
