package masticbucket

import (
	"sync"
	"sync/atomic"
	"time"

	"masticladder/masticcall"
)

// initialLevel is the part of the burst that a bucket holds when its keeper's process starts. It is below 1
// because a former process may just have given out tokens, and above 0 so that requests are admitted at once.
const initialLevel = 0.5

// substituteStart is the time whose tokens a substitute's bucket begins with. It is short because the keepers may have
// given out their bursts just before they ended.
const substituteStart = 100 * time.Millisecond

// Keeper holds the buckets that this host keeps. It is safe for concurrent use.
type Keeper struct {
	host string
	// limit returns the rate and burst of a workspace over all hosts.
	limit func(workspace string) Limit

	// Charged counts the charges of other hosts and of this one, Refused those that were refused.
	Charged, Refused atomic.Int64

	mutex    sync.Mutex
	division *Division
	buckets  map[string]*bucket
	// substitutes are the buckets in place of keepers that have ended.
	substitutes map[string]*bucket
	// dividedAt is when the division last changed, zero if it is the first one.
	dividedAt time.Time
}

// NewKeeper returns the keeper of the named host, without a division.
func NewKeeper(host string, limit func(workspace string) Limit) *Keeper {
	return &Keeper{host: host, limit: limit, buckets: map[string]*bucket{}, substitutes: map[string]*bucket{}}
}

// SetDivision replaces the division from now on. Buckets that this host does not keep any more are dropped. One
// that it keeps from now on begins empty, because its former keeper may still give out tokens.
func (k *Keeper) SetDivision(now time.Time, d *Division) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.division != nil {
		k.dividedAt = now
	}
	k.division = d
	clear(k.substitutes)
	for workspace := range k.buckets {
		if keeps, _ := d.keeps(k.host, workspace); !keeps {
			delete(k.buckets, workspace)
		}
	}
}

// Charge takes tokens from this host's bucket of a workspace.
func (k *Keeper) Charge(now time.Time, c masticcall.Charge) masticcall.ChargeAnswer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	keeps, n := k.division.keeps(k.host, c.Workspace)
	if c.SubstituteOf > 0 {
		keeps, n = true, c.SubstituteOf
	}
	total, _ := k.quota(c.Workspace)
	if !keeps || total.RateTokensPerSecond <= 0 {
		return masticcall.ChargeAnswer{}
	}
	l := total.divided(n)
	bucketOf := k.bucket
	if c.SubstituteOf > 0 {
		bucketOf = k.substitute
	}
	b := bucketOf(now, c.Workspace, l)
	delay, taken := b.charge(now, l, float64(c.Tokens), c.Wait)
	k.Charged.Add(1)
	if !taken {
		k.Refused.Add(1)
	}
	answer := masticcall.ChargeAnswer{Kept: true, Admitted: taken, Delay: delay}
	if taken && delay == 0 && c.Extra > 0 && b.level-float64(c.Extra) >= l.BurstTokens/2 {
		b.level -= float64(c.Extra)
		answer.Extra = c.Extra
	}
	return answer
}

const (
	// maxCreditLifetime is how long after the question charged tokens may be used.
	maxCreditLifetime = 250 * time.Millisecond
	// creditBurstDivisor divides the burst of a workspace; the result is the most of it that is set aside for
	// credits.
	creditBurstDivisor = 8
)

// quota returns what all keepers of a workspace together may give out, and how long after the question tokens may be
// used. Tokens may be used later than they were charged, so that the keepers' burst is lower by what the workspace
// regains in that time: no window then has more than the rate and the burst allow.
func (k *Keeper) quota(workspace string) (Limit, time.Duration) {
	l := k.limit(workspace)
	if l.RateTokensPerSecond <= 0 {
		return l, maxCreditLifetime
	}
	aside := min(l.RateTokensPerSecond*maxCreditLifetime.Seconds(), l.BurstTokens/creditBurstDivisor)
	lifetime := time.Duration(aside / l.RateTokensPerSecond * float64(time.Second))
	l.BurstTokens -= aside
	return l, lifetime
}

func (k *Keeper) bucket(now time.Time, workspace string, l Limit) *bucket {
	b, ok := k.buckets[workspace]
	if !ok {
		b = &bucket{level: initialLevel * l.BurstTokens, at: now}
		if !k.dividedAt.IsZero() {
			b = &bucket{at: k.dividedAt}
		}
		k.buckets[workspace] = b
	}
	return b
}

func (k *Keeper) substitute(now time.Time, workspace string, l Limit) *bucket {
	b, ok := k.substitutes[workspace]
	if !ok {
		b = &bucket{level: l.RateTokensPerSecond * substituteStart.Seconds(), at: now}
		k.substitutes[workspace] = b
	}
	return b
}

// Refund returns tokens that were charged and not used.
func (k *Keeper) Refund(workspace string, tokens int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if b, ok := k.buckets[workspace]; ok {
		b.level += float64(max(0, tokens))
	}
}
