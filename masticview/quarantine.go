package masticview

import (
	"time"
)

// Quarantine refuses a request whose content ended several backend servers.
type Quarantine struct {
	Digest Digest    `json:"digest"`
	Until  time.Time `json:"until"`
}
