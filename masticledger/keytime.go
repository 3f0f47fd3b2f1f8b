package masticledger

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxKeyAhead bounds how far ahead of the state's time a key's own time may lie.
const MaxKeyAhead = 5 * time.Minute

// earliestKeyTime is the earliest time that is read from a key; an earlier one is taken for chance.
var earliestKeyTime = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

const (
	crockford       = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	ulidLength      = 26
	ulidTimeLength  = 10
	uuidLength      = 36
	uuidTimeBytes   = 6
	bitsOfCrockford = 5
)

// KeyTime returns the time that a UUIDv7 or ULID bears. It reports false for any other
// key, and for a time before 2020 or more than MaxKeyAhead after now.
func KeyTime(key string, now time.Time) (time.Time, bool) {
	ms, ok := uuidMillis(key)
	if !ok {
		ms, ok = ulidMillis(key)
	}
	if !ok {
		return time.Time{}, false
	}
	t := time.UnixMilli(ms)
	if t.Before(earliestKeyTime) || t.After(now.Add(MaxKeyAhead)) {
		return time.Time{}, false
	}
	return t, true
}

func uuidMillis(key string) (int64, bool) {
	if len(key) != uuidLength {
		return 0, false
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return 0, false
	}
	var ms int64
	for _, b := range u[:uuidTimeBytes] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

func ulidMillis(key string) (int64, bool) {
	if len(key) != ulidLength || key[0] > '7' {
		return 0, false
	}
	var ms int64
	for i := range key {
		v := strings.IndexByte(crockford, key[i])
		if v < 0 {
			return 0, false
		}
		if i < ulidTimeLength {
			ms = ms<<bitsOfCrockford | int64(v)
		}
	}
	return ms, true
}
