package masticlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// tokenLifetime is how long a host may hold a token. Then it returns it, so that another host can
	// use it.
	tokenLifetime = 1500 * time.Millisecond
	// minUnspentTokens is the number of unspent tokens that a server of any rate may have.
	minUnspentTokens = 2
	// grantSettleTime is how long a grant counts as unspent whatever its host reports, because the
	// report may precede the grant. It spans two reports of a fleet of 85 hosts.
	grantSettleTime = 600 * time.Millisecond
	// minDemandPerSecond is the demand below which a host gets no tokens.
	minDemandPerSecond = 0.05
)

// allocation is the allocator's state of one backend server. The tokens in it and at all hosts are at
// most minUnspentTokens more than the rate allows in tokenLifetime, so that over any time T all hosts
// together send at most rate * (T + tokenLifetime) + minUnspentTokens requests.
type allocation struct {
	// tokens are those that no host has, as of at.
	tokens    float64
	at        time.Time
	followers map[string]*follower
	// names are the keys of followers, sorted.
	names []string
}

// follower is a host that regards this host as the allocator.
type follower struct {
	demandPerSecond float64
	held            int64
	// grants are the grants of the last grantSettleTime, the oldest first; sinceReport is the number
	// of tokens granted since the last report.
	grants      []grant
	sinceReport int64
	// unsent is the number of granted tokens that the host has not been told of.
	unsent int64
	// credit orders the hosts that want tokens; it is what the host's demand entitles it to beyond
	// what it got.
	credit     float64
	reportedAt time.Time
}

type grant struct {
	tokens int64
	at     time.Time
}

// newAllocation returns an allocation without tokens: a former allocator may have granted all.
func newAllocation(now time.Time) *allocation {
	return &allocation{at: now, followers: map[string]*follower{}}
}

// report applies the report of a host.
func (a *allocation) report(now time.Time, host string, d Demand) {
	f, ok := a.followers[host]
	if !ok {
		f = &follower{}
		a.followers[host] = f
		i, _ := slices.BinarySearch(a.names, host)
		a.names = slices.Insert(a.names, i, host)
	}
	f.demandPerSecond, f.held = min(d.PerSecond, maxRequestsPerSecond), min(d.Held, maxTokens)
	f.sinceReport, f.reportedAt = 0, now
	if ok {
		a.tokens = min(a.tokens+float64(d.Returned), maxTokens)
	}
}

// maxTokens bounds what a report may state; it is more than the tokens that a server can have.
const maxTokens = 2 * maxRequestsPerSecond

// removeSilent removes the hosts that have not reported since the given time.
func (a *allocation) removeSilent(since time.Time) {
	for host, f := range a.followers {
		if f.reportedAt.Before(since) {
			delete(a.followers, host)
			a.names = slices.DeleteFunc(a.names, func(n string) bool { return n == host })
		}
	}
}

// refill adds the tokens of the time since the last call.
func (a *allocation) refill(now time.Time, rate float64) {
	limit := minUnspentTokens + rate*tokenLifetime.Seconds() - float64(a.unspent(now))
	a.tokens = min(max(a.tokens, min(a.tokens+rate*now.Sub(a.at).Seconds(), limit)), minUnspentTokens+rate*tokenLifetime.Seconds())
	a.at = now
}

// unspent returns the number of tokens that hosts may have.
func (a *allocation) unspent(now time.Time) int64 {
	var n int64
	for _, f := range a.followers {
		for len(f.grants) > 0 && now.Sub(f.grants[0].at) >= grantSettleTime {
			f.grants = f.grants[1:]
		}
		n += f.held
		for _, g := range f.grants {
			n += g.tokens
		}
	}
	return n
}

// distribute grants the tokens to the hosts that want some, in proportion to their demand.
func (a *allocation) distribute(now time.Time) {
	for a.tokens >= 1 {
		f := a.next()
		if f == nil {
			return
		}
		a.tokens--
		f.credit--
		f.sinceReport++
		f.unsent++
		f.addGrant(now)
	}
}

// next returns the host that gets the next token, nil if no host wants one.
func (a *allocation) next() *follower {
	total := 0.0
	for _, f := range a.followers {
		if f.wantsToken() {
			total += f.demandPerSecond
		} else {
			f.credit = 0
		}
	}
	var best *follower
	for _, name := range a.names {
		f := a.followers[name]
		if !f.wantsToken() {
			continue
		}
		f.credit += f.demandPerSecond / total
		if best == nil || f.credit > best.credit {
			best = f
		}
	}
	return best
}

// wantsToken reports whether the host is expected to spend one more token within tokenLifetime.
func (f *follower) wantsToken() bool {
	return f.demandPerSecond >= minDemandPerSecond && float64(f.held+f.sinceReport) < math.Ceil(f.demandPerSecond*tokenLifetime.Seconds())
}

func (f *follower) addGrant(now time.Time) {
	if n := len(f.grants); n > 0 && f.grants[n-1].at.Equal(now) {
		f.grants[n-1].tokens++
		return
	}
	f.grants = append(f.grants, grant{1, now})
}

// takeUnsent returns and clears the number of granted tokens that the host has not been told of.
func (f *follower) takeUnsent() int64 {
	n := f.unsent
	f.unsent = 0
	return n
}
