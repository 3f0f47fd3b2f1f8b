package masticledger

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxKeyClockSkew bounds how far the timestamp of a key may be ahead of the state's time.
const MaxKeyClockSkew = 5 * time.Minute

// earliestKeyTime is the earliest accepted timestamp of a key. An earlier one is assumed to
// be a coincidence of the key's bits.
var earliestKeyTime = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

const (
	crockfordAlphabet = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	ulidLength        = 26
	ulidTimeLength    = 10
	uuidLength        = 36
	uuidTimeBytes     = 6
	crockfordBits     = 5
)

// KeyTime returns the timestamp embedded in a UUIDv7 or ULID. It returns false for any
// other key, and for a timestamp before 2020 or more than MaxKeyClockSkew after now.
func KeyTime(key string, now time.Time) (time.Time, bool) {
	ms, ok := uuidMillis(key)
	if !ok {
		ms, ok = ulidMillis(key)
	}
	if !ok {
		return time.Time{}, false
	}
	t := time.UnixMilli(ms)
	if t.Before(earliestKeyTime) || t.After(now.Add(MaxKeyClockSkew)) {
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
		v := strings.IndexByte(crockfordAlphabet, key[i])
		if v < 0 {
			return 0, false
		}
		if i < ulidTimeLength {
			ms = ms<<crockfordBits | int64(v)
		}
	}
	return ms, true
}
