package mastichold

import (
	"strings"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// QuarantineError returns the refusal of a request whose content, or a part of it, is quarantined in v, nil
// for other requests.
func QuarantineError(v masticview.View, now time.Time, c masticcall.Content) *masticerror.Error {
	if q, ok := v.Quarantine(c.Digest); ok && q.Until.After(now) {
		return masticerror.New(masticerror.KindQuarantined, "requests with this content ended several backend servers").WithRetryAfter(q.Until.Sub(now))
	}
	for _, p := range c.Parts {
		if q, ok := v.Quarantine(p); ok && q.Until.After(now) && q.Covers(c.Parts) {
			return partError(q, now)
		}
	}
	return nil
}

// partError returns the refusal of a request with a quarantined part. It names the part and the ends that
// decided.
func partError(q masticview.Quarantine, now time.Time) *masticerror.Error {
	return masticerror.New(masticerror.KindQuarantined, "requests with part %s of the prompt ended backend servers, last %s, %v ago",
		q.Digest.Short(), strings.Join(q.Servers, ", "), now.Sub(q.DecidedAt).Round(time.Millisecond)).WithRetryAfter(q.Until.Sub(now))
}
