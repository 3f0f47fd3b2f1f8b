package masticbucket

import (
	"sync"
	"time"
)

const (
	// silenceCooldown is how long a keeper that gave no answer is not asked.
	silenceCooldown = time.Second
	// maxRefusals bounds the refusals that are remembered.
	maxRefusals = 1 << 14
)

// memory is what a host remembers of keepers, so that requests that they would refuse cost no message.
type memory struct {
	mutex sync.Mutex
	// silentUntil are the times until which keepers are not asked.
	silentUntil map[string]time.Time
	refusals    map[refusalKey]refusal
	// loggedUntil are the times until which the end of a keeper is not logged again.
	loggedUntil map[string]time.Time
}

type refusalKey struct{ keeper, workspace string }

// refusal is that a keeper will not have tokens before notBefore.
type refusal struct {
	tokens    int64
	notBefore time.Time
}

func newMemory() *memory {
	return &memory{silentUntil: map[string]time.Time{}, refusals: map[refusalKey]refusal{}, loggedUntil: map[string]time.Time{}}
}

func (m *memory) clear() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.silentUntil)
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

func (m *memory) recordRefusal(now time.Time, h Host, workspace string, tokens int64, delay time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.refusals) >= maxRefusals {
		clear(m.refusals)
	}
	m.refusals[refusalKey{h.Name, workspace}] = refusal{tokens, now.Add(delay)}
}

// refusal returns the time until a keeper may have tokens, if it has refused no more than that before.
func (m *memory) refusal(now time.Time, h Host, workspace string, tokens int64) (time.Duration, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r, ok := m.refusals[refusalKey{h.Name, workspace}]
	if !ok || tokens < r.tokens || !now.Before(r.notBefore) {
		return 0, false
	}
	return r.notBefore.Sub(now), true
}
