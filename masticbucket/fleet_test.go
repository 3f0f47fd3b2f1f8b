package masticbucket

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// fleet is the entry hosts of a site. Charges take a millisecond; those at silent hosts get no answer.
type fleet struct {
	limit    Limit
	hosts    []masticview.Host
	limiters map[string]*Limiter
	keepers  map[string]*Keeper

	// one is set for a reference fleet, in which one bucket holds the whole limit.
	one *oneBucket

	mutex  sync.Mutex
	random *rand.Rand
	silent map[string]bool
	// slow are the times by which the answers of keepers that are short of processor time are late.
	slow map[string]time.Duration
	// ended are the hosts whose process has ended.
	ended map[string]bool
	// attempts counts the requests of callers with their returns.
	charges, attempts int
	admitted          []use
	// tokenWait bounds the wait of a request for tokens, zero if only its caller's timeout does; waits are how long admitted
	// requests waited.
	tokenWait time.Duration
	waits     []time.Duration
}

func (f *fleet) tokensBy() time.Time {
	if f.tokenWait == 0 {
		return time.Time{}
	}
	return time.Now().Add(f.tokenWait)
}

// oneBucket admits from a single bucket, without messages.
type oneBucket struct {
	mutex  sync.Mutex
	limit  Limit
	bucket bucket
}

func (o *oneBucket) admit(ctx context.Context, tokens int64) error {
	deadline, _ := ctx.Deadline()
	o.mutex.Lock()
	delay, taken := o.bucket.charge(time.Now(), o.limit, float64(tokens), time.Until(deadline))
	o.mutex.Unlock()
	if !taken {
		return masticerror.New(masticerror.KindRateLimited, "over the rate").WithRetryAfter(delay)
	}
	time.Sleep(delay)
	return nil
}

// admit admits a request through a host.
func (f *fleet) admit(ctx context.Context, host string, tokens int64) error {
	if f.one != nil {
		return f.one.admit(ctx, tokens)
	}
	_, err := f.limiters[host].Admit(ctx, "w", tokens, f.tokensBy())
	return err
}

func newFleet(hosts int, limit Limit) *fleet {
	f := &fleet{limit: limit, limiters: map[string]*Limiter{}, keepers: map[string]*Keeper{}, silent: map[string]bool{}, slow: map[string]time.Duration{}, ended: map[string]bool{}}
	f.random = rand.New(rand.NewPCG(uint64(hosts), 4))
	for i := range hosts {
		name := fmt.Sprintf("10.0.%d.%d:7500", i/250, i%250)
		f.hosts = append(f.hosts, masticview.Host{Name: name, Address: name, Peer: name, Zone: "z", Weight: int64(1 + 2*(i%3)), State: masticview.HostLive})
	}
	for _, h := range f.hosts {
		f.startHost(h.Name)
	}
	return f
}

// startHost starts the process of a host, which remembers nothing.
func (f *fleet) startHost(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := NewKeeper(name, limitOf(f.limit))
	f.keepers[name] = k
	f.limiters[name] = NewLimiter(name, k, f, log)
	f.limiters[name].shuffle = f.shuffle
	f.limiters[name].throttles.random = f.float64
	f.divide(name, f.hosts)
}

// shuffle is rand.Shuffle with the seed of the fleet.
func (f *fleet) shuffle(n int, swap func(i, j int)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.random.Shuffle(n, swap)
}

// float64 is rand.Float64 with the seed of the fleet.
func (f *fleet) float64() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64()
}

func (f *fleet) divide(name string, hosts []masticview.Host) {
	d := NewDivision(hosts)
	f.limiters[name].division.Store(d)
	f.keepers[name].SetDivision(time.Now(), d)
}

// Charge implements masticcall.Keepers.
func (f *fleet) Charge(ctx context.Context, peer string, c masticcall.Charge) (masticcall.ChargeAnswer, error) {
	f.mutex.Lock()
	f.charges++
	silent, ended, late := f.silent[peer], f.ended[peer], f.slow[peer]
	f.mutex.Unlock()
	if ended {
		return masticcall.ChargeAnswer{}, masticerror.Wrap(syscall.ECONNREFUSED, masticerror.KindNoQuorum, "connect to %s", peer)
	}
	if silent {
		<-ctx.Done()
		return masticcall.ChargeAnswer{}, ctx.Err()
	}
	time.Sleep(time.Millisecond + late)
	answer := f.keepers[peer].Charge(time.Now(), c)
	if ctx.Err() != nil {
		return masticcall.ChargeAnswer{}, masticerror.Wrap(ctx.Err(), masticerror.KindOverloaded, "%s is late", peer)
	}
	return answer, nil
}

// Refund implements masticcall.Keepers.
func (f *fleet) Refund(peer, workspace string, tokens int64) {
	f.keepers[peer].Refund(workspace, tokens)
}

// caller sends one request through a host, waits 250 ms for quota at most, and comes back twice when it is told to.
type caller struct {
	fleet  *fleet
	host   string
	tokens int64
	// lag delays each attempt after the first. It differs from caller to caller: which of two attempts at one instant
	// goes first would depend on the scheduler.
	lag  time.Duration
	done *sync.WaitGroup
}

func (a *caller) run() {
	defer a.done.Done()
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		a.fleet.mutex.Lock()
		a.fleet.attempts++
		a.fleet.mutex.Unlock()
		began := time.Now()
		err := a.fleet.admit(ctx, a.host, a.tokens)
		cancel()
		if err == nil {
			a.fleet.mutex.Lock()
			a.fleet.admitted = append(a.fleet.admitted, use{time.Now(), float64(a.tokens)})
			a.fleet.waits = append(a.fleet.waits, time.Since(began))
			a.fleet.mutex.Unlock()
			return
		}
		var e *masticerror.Error
		if !errors.As(err, &e) || e.RetryAfter() <= 0 || e.RetryAfter() > 3*time.Second {
			return
		}
		time.Sleep(e.RetryAfter() + a.lag)
	}
}

// play has callers ask for the given part of the rate, each at a random host, and returns the part of what they asked
// for that was admitted.
func (f *fleet) play(random *rand.Rand, spell time.Duration, load float64, tokens int64) float64 {
	var done sync.WaitGroup
	f.mutex.Lock()
	before := len(f.admitted)
	f.mutex.Unlock()
	asked := 0
	mean := float64(tokens) / (load * f.limit.RateTokensPerSecond)
	for end := time.Now().Add(spell); time.Now().Before(end); asked++ {
		done.Add(1)
		a := &caller{fleet: f, host: f.hosts[random.IntN(len(f.hosts))].Name, tokens: tokens, lag: time.Duration(asked) * time.Microsecond, done: &done}
		go a.run()
		time.Sleep(time.Duration(random.ExpFloat64() * mean * float64(time.Second)))
	}
	done.Wait()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return float64(len(f.admitted)-before) / float64(max(1, asked))
}

// assertWithinLimit checks every window that begins and ends with an admission.
func (f *fleet) assertWithinLimit(c *qt.C, extra float64) {
	sum, least := 0.0, 0.0
	for _, u := range f.admitted {
		regained := f.limit.RateTokensPerSecond * u.at.Sub(f.admitted[0].at).Seconds()
		// least is the smallest sum before a window less what was regained until its begin.
		least = min(least, sum-regained)
		sum += u.tokens
		c.Assert(sum-regained-least <= f.limit.BurstTokens+extra+1, qt.IsTrue, qt.Commentf("%v tokens beyond the rate, the burst is %v", sum-regained-least, f.limit.BurstTokens))
	}
}

// The limit of the workspace in the tests of fleets: 100,000 tokens a second and a burst of a second, with half of the
// slack of known installations.
var fleetLimit = Limit{RateTokensPerSecond: 100_000, BurstTokens: 195_000}

// Requests of the smallest, the mean and the largest size.
const (
	smallTokens = 383
	meanTokens  = 17_020
	largeTokens = 51_060
)

// TestHostsShareHoldsNoLongRequest replays the quota of one workspace on sites of several sizes, without the leader: right after all
// hosts have started, in calm, with one keeper silent, and with half as much again as the rate. Requests of any size are admitted nearly
// as by one bucket that all hosts ask, less the part of the silent keeper, and never more than rate and burst allow.
func TestHostsShareHoldsNoLongRequest(t *testing.T) {
	for _, hosts := range []int{9, 57, 85, 291, 450} {
		for _, tokens := range []int64{smallTokens, meanTokens, largeTokens} {
			t.Run(fmt.Sprintf("%d hosts, %d tokens", hosts, tokens), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { replayQuota(qt.New(t), hosts, tokens) })
			})
		}
	}
}

// minOfOneBucket is the least that must be admitted of what one bucket admits, minOfOneBucketLong that of a spell of 100 s. In 20 s
// there are some 59 of the largest requests: one more or less is 0.03 of what is admitted.
const (
	minOfOneBucket     = 0.9
	minOfOneBucketLong = 0.95
)

func replayQuota(c *qt.C, hosts int, tokens int64) {
	f, reference := newFleet(hosts, fleetLimit), newFleet(hosts, fleetLimit)
	reference.one = &oneBucket{limit: fleetLimit, bucket: bucket{level: initialLevel * fleetLimit.BurstTokens, at: time.Now()}}
	silent := NewDivision(f.hosts).Keepers("w")[0].Name
	for i, x := range []struct {
		name         string
		spell        time.Duration
		load         float64
		keeperSilent bool
		least        float64
	}{
		{"after the start", 2 * time.Second, 0.7, false, minOfOneBucket},
		{"calm", 20 * time.Second, 0.7, false, minOfOneBucket},
		{"one keeper silent", 20 * time.Second, 0.5, true, minOfOneBucket},
		{"over the rate", 100 * time.Second, 1.5, false, minOfOneBucketLong},
	} {
		f.silent[silent] = x.keeperSilent
		seed := uint64(hosts*10 + i)
		reference.one.limit = fleetLimit
		if x.keeperSilent {
			reference.one.limit = Limit{fleetLimit.RateTokensPerSecond * (parts - 1) / parts, fleetLimit.BurstTokens * (parts - 1) / parts}
		}
		got := f.play(rand.New(rand.NewPCG(seed, 1)), x.spell, x.load, tokens)
		want := reference.play(rand.New(rand.NewPCG(seed, 1)), x.spell, x.load, tokens)
		c.Logf("%s: %.2f of what was asked for, by one bucket %.2f", x.name, got, want)
		c.Check(got >= x.least*want, qt.IsTrue)
	}
	c.Logf("%.2f charges a request", float64(f.charges)/float64(max(1, len(f.admitted))))
	f.assertWithinLimit(c, 0)
	reference.assertWithinLimit(c, 0)
}

// TestSlowKeepersRefuseRequestsWithinRate: keepers that answered later than 80 ms were not asked for a second, so that
// their hosts refused requests of workspaces within their rates, and the tokens of late answers were lost.
func TestSlowKeepersRefuseRequestsWithinRate(t *testing.T) {
	for _, x := range []struct {
		name   string
		slow   int
		late   time.Duration
		tokens int64
		min    float64
	}{
		{"one slow keeper, small requests", 1, 120 * time.Millisecond, smallTokens, 0.98},
		{"all slow, small requests", parts, 120 * time.Millisecond, smallTokens, 0.98},
		{"all slow, long requests", parts, 120 * time.Millisecond, meanTokens, 0.98},
		{"all slow, large requests", parts, 120 * time.Millisecond, largeTokens, 0.8},
		{"all very slow, small requests", parts, 200 * time.Millisecond, smallTokens, 0.95},
	} {
		for _, tokenWait := range []time.Duration{0, 50 * time.Millisecond} {
			name := x.name + ", " + tokenWait.String()
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					random := rand.New(rand.NewPCG(4, 4))
					f := newFleet(87, fleetLimit)
					f.tokenWait = tokenWait
					f.play(random, 2*time.Second, 0.5, x.tokens)
					for _, h := range NewDivision(f.hosts).Keepers("w")[:x.slow] {
						f.slow[h.Name] = x.late
					}
					got := f.play(random, 20*time.Second, 0.5, x.tokens)
					c.Logf("%.3f of what was asked for", got)
					c.Check(got >= x.min, qt.IsTrue)
					f.assertWithinLimit(c, 0)
					// The last charges end.
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestWorkspaceOverItsRateAsksForEachRequest: the requests of a workspace at six times its rate were put to all keepers,
// since a keeper had tokens for a small request some milliseconds after it had refused one. The questions kept the
// keepers from answering others.
func TestWorkspaceOverItsRateAsksForEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(5, 5))
		f := newFleet(87, fleetLimit)
		f.play(random, 2*time.Second, 0.7, smallTokens)
		f.charges, f.attempts = 0, 0
		before := len(f.admitted)
		const load, spell = 6.0, 6500 * time.Millisecond
		f.play(random, spell, load, smallTokens)
		perAttempt := float64(f.charges) / float64(f.attempts)
		admitted := float64(len(f.admitted)-before) * smallTokens / (fleetLimit.RateTokensPerSecond * spell.Seconds())
		c.Logf("%.2f charges an attempt, %.2f of the rate was used", perAttempt, admitted)
		c.Check(perAttempt <= 0.6, qt.IsTrue)
		c.Check(admitted >= 0.95, qt.IsTrue)
		f.assertWithinLimit(c, 0)
		time.Sleep(time.Second)
	})
}

// TestWorkspaceOverItsRateIsServedLate: while a workspace sent six times its rate, each of its admitted requests waited 250 ms
// for tokens, more than half of the time in which its answer was due, and no more of them were admitted.
func TestWorkspaceOverItsRateIsServedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const load, spell, tokenWait = 6.0, 6500 * time.Millisecond, 50 * time.Millisecond
		random := rand.New(rand.NewPCG(5, 6))
		f := newFleet(87, fleetLimit)
		f.tokenWait = tokenWait
		f.play(random, spell, load, smallTokens)
		admitted := float64(len(f.admitted)) * smallTokens / (fleetLimit.RateTokensPerSecond * spell.Seconds())
		slices.Sort(f.waits)
		median, longest := f.waits[len(f.waits)/2], f.waits[len(f.waits)-1]
		c.Logf("waited %v at the median, %v at most; %.2f of the rate was used", median, longest, admitted)
		c.Check(median <= tokenWait+10*time.Millisecond, qt.IsTrue)
		c.Check(admitted >= 0.95, qt.IsTrue)
		f.assertWithinLimit(c, 0)
		time.Sleep(time.Second)
	})
}

// TestRateOfLargeWorkspaceIsUnused: hosts that asked a keeper again only 0.06 to 0.7 s after its refusal used a small part of
// the rate of a workspace that is allowed 1,700 requests a second.
func TestRateOfLargeWorkspaceIsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limit := Limit{RateTokensPerSecond: 650_000, BurstTokens: 745_000}
		const load, spell = 6.0, 6 * time.Second
		random := rand.New(rand.NewPCG(5, 7))
		f := newFleet(87, limit)
		f.tokenWait = 50 * time.Millisecond
		f.play(random, 2*time.Second, load, smallTokens)
		before := len(f.admitted)
		f.charges, f.attempts = 0, 0
		f.play(random, spell, load, smallTokens)
		admitted := float64(len(f.admitted)-before) * smallTokens / (limit.RateTokensPerSecond * spell.Seconds())
		c.Logf("%.2f of the rate was used, %.2f charges an attempt", admitted, float64(f.charges)/float64(f.attempts))
		c.Check(admitted >= 0.95, qt.IsTrue)
		f.assertWithinLimit(c, 0)
		time.Sleep(time.Second)
	})
}

// player plays the requests of one size.
type player struct {
	fleet  *fleet
	random *rand.Rand
	spell  time.Duration
	load   float64
	tokens int64
	done   sync.WaitGroup
}

func (p *player) run() {
	defer p.done.Done()
	p.fleet.play(p.random, p.spell, p.load, p.tokens)
}

// TestLongRequestsTakeTheRateOfShortOnes: keepers lend tokens ahead for the time that a request may wait. While a workspace sent three times
// its rate, and long requests could wait three times as long as short ones, these found all buckets lent beyond their reach.
func TestLongRequestsTakeTheRateOfShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limit := Limit{RateTokensPerSecond: 576_000, BurstTokens: 671_000}
		const spell = 6 * time.Second
		f := newFleet(87, limit)
		f.tokenWait = 50 * time.Millisecond
		long := &player{fleet: f, random: rand.New(rand.NewPCG(5, 8)), spell: spell, load: 2, tokens: meanTokens}
		short := &player{fleet: f, random: rand.New(rand.NewPCG(5, 9)), spell: spell, load: 1.5, tokens: smallTokens}
		for _, p := range []*player{long, short} {
			p.done.Add(1)
			go p.run()
		}
		long.done.Wait()
		short.done.Wait()
		used := map[float64]float64{}
		for _, u := range f.admitted {
			used[u.tokens] += u.tokens / (limit.RateTokensPerSecond * spell.Seconds())
		}
		c.Logf("of the rate, short requests used %.2f and long ones %.2f", used[smallTokens], used[meanTokens])
		c.Check(used[smallTokens] >= 0.6, qt.IsTrue)
		c.Check(used[meanTokens] > 0, qt.IsTrue)
		f.assertWithinLimit(c, 0)
		time.Sleep(time.Second)
	})
}

// TestRestartsAndChangesOfKeepersExceedQuota restarts hosts and removes keepers under load. Each restart of a keeper may add
// its initial level, each change what the former keeper still gives out to hosts with the older view.
func TestRestartsAndChangesOfKeepersExceedQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(2, 2))
		f := newFleet(57, fleetLimit)
		for range 4 {
			f.play(random, 2*time.Second, 1.5, meanTokens)
		}
		f.admitted = nil
		part := fleetLimit.BurstTokens / parts
		for _, h := range f.hosts {
			f.startHost(h.Name)
		}
		f.play(random, 2*time.Second, 1.5, meanTokens)
		f.assertWithinLimit(c, 0)
		gone := NewDivision(f.hosts).Keepers("w")[0]
		var rest []masticview.Host
		for _, h := range f.hosts {
			if h.Name != gone.Name {
				rest = append(rest, h)
			}
		}
		// Half of the hosts learn a second later.
		for i, h := range f.hosts {
			if i%2 == 0 {
				f.divide(h.Name, rest)
			}
		}
		f.play(random, time.Second, 1.5, meanTokens)
		for _, h := range f.hosts {
			f.divide(h.Name, rest)
		}
		f.play(random, 2*time.Second, 1.5, meanTokens)
		f.assertWithinLimit(c, part+fleetLimit.RateTokensPerSecond/parts)
	})
}

// TestRequestsAreRefusedWhileAllKeepersAreDown replays a kill of all entry hosts but one or six, which then get all requests: as their
// keepers were gone they refused all for a second, also of callers that took streams up again.
func TestRequestsAreRefusedWhileAllKeepersAreDown(t *testing.T) {
	for _, x := range []struct {
		name      string
		survivors int
		tokens    int64
	}{
		{"one host survives, small requests", 1, smallTokens},
		{"six hosts survive, small requests", 6, smallTokens},
		{"six hosts survive, long requests", 6, meanTokens},
		{"the other keepers survive, long requests", -1, meanTokens},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				random := rand.New(rand.NewPCG(3, 3))
				f := newFleet(57, fleetLimit)
				f.play(random, 2*time.Second, 0.7, x.tokens)
				d := NewDivision(f.hosts)
				var alive []masticview.Host
				for i, h := range f.hosts {
					keeps, _ := d.keeps(h.Name, "w")
					isKeeper := slices.ContainsFunc(d.keepers, func(k Host) bool { return k.Name == h.Name })
					if !keeps && (x.survivors < 0 || !isKeeper && len(alive) < x.survivors) {
						alive = append(alive, f.hosts[i])
						continue
					}
					f.ended[h.Name] = true
				}
				all := f.hosts
				f.hosts = alive
				// A tenth of the rate: a part of it for each of a few hosts, or a third at one substitute.
				got := f.play(random, 600*time.Millisecond, 0.1, x.tokens)
				c.Check(got >= 0.9, qt.IsTrue, qt.Commentf("%.2f of what was asked for", got))
				f.hosts = all
				for _, h := range all {
					if f.ended[h.Name] {
						f.startHost(h.Name)
					}
				}
				clear(f.ended)
				got = f.play(random, 2*time.Second, 0.7, x.tokens)
				c.Check(got >= 0.9, qt.IsTrue, qt.Commentf("%.2f of what was asked for, once they are back", got))
				f.assertWithinLimit(c, 0)
			})
		})
	}
}
