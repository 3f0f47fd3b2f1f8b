package masticassign

import (
	"math/rand/v2"
	"sync"
	"time"

	"masticladder/masticproto"
)

// clock stamps questions with the time since its process started.
type clock struct {
	asker uint64
	start time.Time
}

func newClock() clock { return clock{asker: rand.Uint64(), start: time.Now()} }

func (c clock) sentAt(now time.Time) *masticproto.SentAt {
	return &masticproto.SentAt{Asker: c.asker, Us: now.Sub(c.start).Microseconds()}
}

const (
	// ageWindow is the time over which the fastest question of an asker is determined. It follows the drift of
	// clocks, and is long compared with an overload.
	ageWindow = 10 * time.Second
	// maxAskers bounds the askers that are remembered.
	maxAskers = 1 << 11
)

// ages estimates how long ago questions were sent. The clocks of hosts differ, so that the age of a question is
// the time by which it is later than the fastest one of the same asker. It includes the time in which the
// question lay in the buffer of a connection because this host lacked processor time.
type ages struct {
	mutex  sync.Mutex
	start  time.Time
	askers map[uint64]fastest
}

// fastest is the least difference of clocks, in the window that ends at endsAt and in the one before.
type fastest struct {
	current, former time.Duration
	endsAt          time.Time
}

func newAges() *ages { return &ages{start: time.Now(), askers: map[uint64]fastest{}} }

// age returns the age of a question, zero if it does not say when it was sent.
func (a *ages) age(now time.Time, sent *masticproto.SentAt) time.Duration {
	if sent == nil {
		return 0
	}
	difference := now.Sub(a.start) - time.Duration(sent.GetUs())*time.Microsecond
	a.mutex.Lock()
	defer a.mutex.Unlock()
	f, known := a.askers[sent.GetAsker()]
	if !known {
		if len(a.askers) >= maxAskers {
			clear(a.askers)
		}
		f = fastest{difference, difference, now.Add(ageWindow)}
	}
	if !now.Before(f.endsAt) {
		f = fastest{difference, f.current, now.Add(ageWindow)}
	}
	f.current = min(f.current, difference)
	a.askers[sent.GetAsker()] = f
	return difference - min(f.current, f.former)
}
