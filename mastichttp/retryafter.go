package mastichttp

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter is the longest delay that RetryAfter returns. It keeps sums of times from overflowing.
const MaxRetryAfter = 10 * 365 * 24 * time.Hour

// PausedUntil returns the time until which the server of an answer, received at now, wants no requests. It
// is zero unless the server turned the request away, with status 503 or 429, and stated a delay.
func PausedUntil(status int, h http.Header, now time.Time) (time.Time, error) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return time.Time{}, nil
	}
	delay, err := RetryAfter(h)
	if delay == 0 {
		return time.Time{}, err
	}
	return now.Add(delay), err
}

// RetryAfter returns the delay that the Retry-After field of an answer states, zero if it has none. The
// value is a decimal number of seconds, which may have a fraction, or a date. A date is taken relative to
// the Date field of the same answer, so that only the server's clock matters.
func RetryAfter(h http.Header) (time.Duration, error) {
	text := strings.TrimSpace(h.Get("Retry-After"))
	switch {
	case text == "":
		return 0, nil
	case strings.Trim(text, "0123456789.") == "":
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			return 0, retryAfterError(text)
		}
		if seconds > MaxRetryAfter.Seconds() {
			return MaxRetryAfter, nil
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0, retryAfterError(text)
	}
	answered, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0, fmt.Errorf("field Retry-After has the date %.40q, but the answer has no date itself", text)
	}
	return min(max(0, at.Sub(answered)), MaxRetryAfter), nil
}

func retryAfterError(text string) error {
	return fmt.Errorf("field Retry-After is %.40q: neither seconds nor a date", text)
}
