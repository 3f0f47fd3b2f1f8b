package masticroute

import "time"

// Spread returns a random part of span.
func (r *Router) Spread(span time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(max(0, span)) + 1))
}
