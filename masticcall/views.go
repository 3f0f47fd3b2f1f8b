package masticcall

import (
	"time"

	"masticladder/masticview"
)

// Views gives the view that this host may serve from.
type Views interface {
	// View returns the newest view that this host holds, with or without a lease.
	View() masticview.View
	// Leased reports whether the host's view lease holds at now.
	Leased(now time.Time) bool
}
