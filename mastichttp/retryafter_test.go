package mastichttp

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetryAfter checks each form of the field that BACKENDS.md lists.
func TestRetryAfter(t *testing.T) {
	const date, later = "Fri, 04 Dec 2026 12:00:00 GMT", "Fri, 04 Dec 2026 12:00:07 GMT"
	for _, x := range []struct {
		value, date string
		want        time.Duration
		valid       bool
	}{
		{"", "", 0, true},
		{"0", "", 0, true},
		{"3", "", 3 * time.Second, true},
		{" 3 ", "", 3 * time.Second, true},
		{"0.25", "", 250 * time.Millisecond, true},
		{"1000000000000", "", MaxRetryAfter, true},
		{strings.Repeat("9", 400), "", MaxRetryAfter, true},
		{later, date, 7 * time.Second, true},
		{date, later, 0, true},
		{"Fri, 04 Dec 2999 12:00:00 GMT", date, MaxRetryAfter, true},
		{later, "", 0, false},
		{later, "soon", 0, false},
		{"-3", "", 0, false},
		{"soon", "", 0, false},
		{"NaN", "", 0, false},
		{"Inf", "", 0, false},
		{"1e400", "", 0, false},
		{"1e3", "", 0, false},
		{"0x10", "", 0, false},
		{"1.2.3", "", 0, false},
		{".", "", 0, false},
	} {
		t.Run(x.value+" at "+x.date, func(t *testing.T) {
			c := qt.New(t)
			h := http.Header{}
			h.Set("Retry-After", x.value)
			if x.date != "" {
				h.Set("Date", x.date)
			}
			got, err := RetryAfter(h)
			c.Assert(err == nil, qt.Equals, x.valid)
			c.Assert(got, qt.Equals, x.want)
		})
	}
}
