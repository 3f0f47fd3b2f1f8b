package masticcall

import (
	"time"

	"masticladder/masticview"
)

// Views provides the view on which this host bases its answers.
type Views interface {
	// View returns the newest view that this host has received, whether or not it has a lease.
	View() masticview.View
	// Leased reports whether the host's view lease is valid at now.
	Leased(now time.Time) bool
}
