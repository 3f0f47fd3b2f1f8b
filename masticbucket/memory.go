package masticbucket

import (
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
	// shortTime is how long after its refusal a keeper counts as short of tokens for a workspace.
	shortTime = 500 * time.Millisecond
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
	tokens               int64
	refusedAt, notBefore time.Time
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

// shouldLog reports whether the end of a keeper is to be logged.
func (m *memory) shouldLog(now time.Time, h Host) bool {
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
	m.refusals[refusalKey{h.Name, c.Workspace}] = refusal{tokens: c.Tokens, refusedAt: now, notBefore: now.Add(delay)}
}

// allShort reports whether all keepers have refused requests of the workspace a short time ago.
func (m *memory) allShort(now time.Time, keepers []Host, workspace string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !slices.ContainsFunc(keepers, func(h Host) bool {
		r, ok := m.refusals[refusalKey{h.Name, workspace}]
		return !ok || now.Sub(r.refusedAt) > shortTime
	})
}

// earliest returns the time until one of the keepers that have refused requests of the workspace may have tokens.
func (m *memory) earliest(now time.Time, keepers []Host, workspace string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	least := unansweredRetryAfter
	for _, h := range keepers {
		if r, ok := m.refusals[refusalKey{h.Name, workspace}]; ok {
			least = min(least, max(0, r.notBefore.Sub(now)))
		}
	}
	return least
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
	return delay, delay > c.Wait
}
