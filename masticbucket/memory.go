package masticbucket

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"masticladder/masticcall"
)

const (
	// silenceCooldown is how long a keeper that gave no answer is not asked.
	silenceCooldown = time.Second
	// lateCooldown is how long a keeper that answered late is asked after the others.
	lateCooldown = 100 * time.Millisecond
	// minRefusalHold is the mean time for which a keeper that refused is not asked again. It varies by half, and doubles
	// with each further refusal up to maxRefusalHold. A workspace at several times its rate otherwise has a
	// question for each of its requests, since the tokens for a small one are there after some milliseconds and
	// another host takes them. maxRefusalHold is short compared with the time in which a bucket fills.
	minRefusalHold = 60 * time.Millisecond
	maxRefusalHold = 480 * time.Millisecond
	// maxRefusals bounds the refusals that are remembered.
	maxRefusals = 1 << 14
)

// memory is what a host remembers of keepers, so that requests that they would refuse cost no message.
type memory struct {
	mutex sync.Mutex
	// silentUntil are the times until which keepers are not asked.
	silentUntil map[string]time.Time
	// lateUntil are the times until which keepers are asked after the others.
	lateUntil map[string]time.Time
	refusals  map[refusalKey]refusal
	// loggedUntil are the times until which the end of a keeper is not logged again.
	loggedUntil map[string]time.Time
}

type refusalKey struct{ keeper, workspace string }

// refusal is that a keeper will not have tokens before notBefore.
type refusal struct {
	tokens    int64
	notBefore time.Time
	// heldUntil is until when the keeper is not asked, waitHeldUntil the same for requests that can wait for up to
	// wait.
	heldUntil, waitHeldUntil time.Time
	wait                     time.Duration
	// hold is the mean time of the last hold.
	hold time.Duration
}

func newMemory() *memory {
	return &memory{silentUntil: map[string]time.Time{}, lateUntil: map[string]time.Time{}, refusals: map[refusalKey]refusal{}, loggedUntil: map[string]time.Time{}}
}

func (m *memory) clear() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.silentUntil)
	clear(m.lateUntil)
	clear(m.refusals)
	clear(m.loggedUntil)
}

// isNews reports whether the end of a keeper is to be logged.
func (m *memory) isNews(now time.Time, h Host) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Before(m.loggedUntil[h.Name]) {
		return false
	}
	m.loggedUntil[h.Name] = now.Add(silenceCooldown)
	return true
}

func (m *memory) recordSilence(now time.Time, h Host) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.silentUntil[h.Name] = now.Add(silenceCooldown)
}

func (m *memory) isSilent(now time.Time, h Host) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return now.Before(m.silentUntil[h.Name])
}

// anySilent reports whether one of the keepers is not asked, or answered late.
func (m *memory) anySilent(now time.Time, hosts []Host) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.ContainsFunc(hosts, func(h Host) bool { return now.Before(m.silentUntil[h.Name]) || m.late(now, h) > 0 })
}

func (m *memory) recordLate(now time.Time, h Host) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lateUntil[h.Name] = now.Add(lateCooldown)
}

// sortLateLast moves late keepers behind the others.
func (m *memory) sortLateLast(now time.Time, hosts []Host) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return int(m.late(now, a) - m.late(now, b))
	})
}

// late is 1 for a late keeper. The caller holds the mutex.
func (m *memory) late(now time.Time, h Host) int {
	if now.Before(m.lateUntil[h.Name]) {
		return 1
	}
	return 0
}

func (m *memory) recordRefusal(now time.Time, h Host, c masticcall.Charge, delay time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.refusals) >= maxRefusals {
		clear(m.refusals)
	}
	key := refusalKey{h.Name, c.Workspace}
	r := m.refusals[key]
	if c.Tokens < r.tokens {
		r = refusal{}
	}
	r.hold = min(max(2*r.hold, minRefusalHold), maxRefusalHold)
	hold := r.hold/2 + rand.N(r.hold)
	r.tokens, r.notBefore = c.Tokens, now.Add(delay)
	if c.Wait > 0 {
		r.wait, r.waitHeldUntil = c.Wait, now.Add(max(0, delay-c.Wait)+hold)
	}
	r.heldUntil = now.Add(max(delay, hold))
	m.refusals[key] = r
}

// recordAdmission records that a keeper has tokens again. The next hold is as long as the last one, as the workspace is
// probably still over its rate; after maxRefusalHold without a refusal it is short again.
func (m *memory) recordAdmission(now time.Time, h Host, workspace string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := refusalKey{h.Name, workspace}
	r, ok := m.refusals[key]
	if !ok {
		return
	}
	if now.Sub(r.heldUntil) > maxRefusalHold {
		delete(m.refusals, key)
		return
	}
	m.refusals[key] = refusal{tokens: r.tokens, heldUntil: r.heldUntil, hold: r.hold / 2}
}

// allShort reports whether all keepers have refused requests of the workspace a short time ago.
func (m *memory) allShort(now time.Time, keepers []Host, workspace string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !slices.ContainsFunc(keepers, func(h Host) bool {
		r, ok := m.refusals[refusalKey{h.Name, workspace}]
		return !ok || now.Sub(r.heldUntil) > maxRefusalHold
	})
}

// refusal returns the time until a keeper may have tokens, if it has refused such a charge before.
func (m *memory) refusal(now time.Time, h Host, c masticcall.Charge) (time.Duration, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r, ok := m.refusals[refusalKey{h.Name, c.Workspace}]
	if !ok || c.Tokens < r.tokens {
		return 0, false
	}
	delay := r.notBefore.Sub(now)
	if c.Wait == 0 {
		delay = r.heldUntil.Sub(now)
	} else if c.Wait <= r.wait+waitTolerance {
		delay = max(delay, r.waitHeldUntil.Sub(now)+c.Wait)
	}
	return delay, delay > c.Wait
}

// waitTolerance is the difference up to which two requests count as waiting for the same time.
const waitTolerance = 50 * time.Millisecond
