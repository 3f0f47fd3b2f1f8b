package masticview

import (
	"time"
)

// Quarantine refuses requests whose content has crashed several backend servers.
type Quarantine struct {
	// Digest identifies the content of the request, its model and prompt.
	Digest Digest    `json:"digest"`
	Until  time.Time `json:"until"`
}
