package masticfair

import (
	"math"
	"time"
)

// usageHalfLife is the half-life of the service that a workspace had.
const usageHalfLife = 10 * time.Second

// Usage keeps the recent service of each workspace. It is not safe for concurrent use.
type Usage struct {
	workspaces map[string]*service
}

// service is the decayed service of one workspace, in tokens, as of at.
type service struct {
	weight float64
	tokens float64
	at     time.Time
}

// NewUsage returns an empty Usage.
func NewUsage() *Usage { return &Usage{workspaces: map[string]*service{}} }

func (s *service) now(now time.Time) float64 {
	return s.tokens * math.Exp2(-float64(max(0, now.Sub(s.at)))/float64(usageHalfLife))
}

// Add records that a workspace of the given weight was served tokens.
func (u *Usage) Add(now time.Time, workspace string, weight, tokens int64) {
	s, ok := u.workspaces[workspace]
	if !ok {
		u.prune(now)
		s = &service{}
		u.workspaces[workspace] = s
	}
	s.tokens = s.now(now) + float64(tokens)
	s.at = now
	s.weight = float64(max(1, weight))
}

// prune forgets the workspaces whose service has decayed.
func (u *Usage) prune(now time.Time) {
	for name, s := range u.workspaces {
		if s.now(now) < 1 {
			delete(u.workspaces, name)
		}
	}
}

// Over returns the recent service of a workspace as a multiple of its share by weight.
func (u *Usage) Over(now time.Time, workspace string) float64 {
	own, ok := u.workspaces[workspace]
	if !ok {
		return 0
	}
	var tokens, weight float64
	for _, s := range u.workspaces {
		tokens += s.now(now)
		weight += s.weight
	}
	if tokens == 0 {
		return 0
	}
	return own.now(now) / tokens * weight / own.weight
}
