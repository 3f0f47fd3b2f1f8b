package masticrollout

import (
	"maps"
	"math"
	"slices"
)

const (
	// minEvidence is the information, in nats, from which a difference between two versions counts as proven. The chance
	// that a good version reaches it in one comparison is below e^-10, and far below with the margins; a rollout makes some
	// thousand comparisons, most of which depend on each other. minOtherEvidence is that without the worst server.
	minEvidence      = 10
	minOtherEvidence = 4
	// doubtEvidence is that from which the traffic does not yet move, and lastEvidence that which is enough once there is
	// no time left for more answers.
	doubtEvidence = 2
	lastEvidence  = 7
	// minBad is the least number of bad answers of a bad version.
	minBad = 4
	// relativeMargin and the other margins are how much worse than the others a version may be, as a factor and in addition:
	// servers differ, and new ones have cold caches. With 0.03 in place of 0.02, versions of which 15 % of the answers fail
	// needed more answers than the bounds allow.
	relativeMargin = 1.2
	failureMargin  = 0.02
	slowMargin     = 0.03
	tailMargin     = 0.035
	// minSlowBucket is the first bucket in which an answer can be too slow, at 22 ms. Shorter differences are within
	// what busy hosts add.
	minSlowBucket = 10
	// priorFraction is the fraction of bad answers that is expected without any answer of the others.
	priorFraction = 0.03
	// priorAnswers is the weight of a route's average against the answers of one slice.
	priorAnswers = 20
)

// criterion is a kind of bad answers.
type criterion struct {
	// slow reports that late answers are bad, and not failures.
	slow bool
	// shift is by how many buckets an answer of another version may be earlier and counts as late too: a version is as
	// much slower if it is bad.
	shift int
	// margin is added to the fraction that is expected, which is at most maxExpected.
	margin, maxExpected float64
}

// criteria: failures; all answers are over twice as slow; some answers are late by more than the others' latest ones. The
// speeds of engines differ by a factor of 1.7 from their mean.
var criteria = []criterion{
	{margin: failureMargin, maxExpected: 1},
	{slow: true, shift: bucketsPerDoubling, margin: slowMargin, maxExpected: 1},
	{slow: true, shift: bucketsPerDoubling / 2, margin: tailMargin, maxExpected: 0.05},
}

// Verdict is what the evidence says of a version.
type Verdict struct {
	// Bad reports that the version is proven bad. Doubt reports that it is neither that nor inconspicuous.
	Bad, Doubt bool
	// Suspect is the server without which the version would not be bad; empty if there is none.
	Suspect string
	// Route is empty for all routes; Slow reports that answers are late, and not failures.
	Route string
	Slow  bool
	// Observed and Expected are the fractions of such answers of the version, and of others at the same time, Answers
	// is the number of answers that they are about.
	Observed, Expected float64
	Answers            int64
	// Evidence is the information, in nats, that the version is worse than the margins allow.
	Evidence float64
}

// comparison is the sum of bad answers of the target version against what other versions' answers let expect.
type comparison struct {
	criterion              criterion
	answers, bad, expected float64
	// slices is the number of slices of time with a bad answer; one that holds the counts of a longer time counts as two.
	slices int
	// servers holds the parts of the sums by server.
	servers map[string]*comparison
}

// evidence returns the information, in nats, that the version is worse than expected by more than the margins.
func (c *comparison) evidence() float64 {
	if c.bad < minBad || c.answers <= 0 || c.expected > c.criterion.maxExpected*c.answers {
		return 0
	}
	p, q := c.bad/c.answers, relativeMargin*c.expected/c.answers+c.criterion.margin
	if p <= q {
		return 0
	}
	return c.answers * divergence(p, q)
}

// divergence returns the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(p, q float64) float64 {
	d := p * math.Log(p/q)
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// without returns the comparison without one server.
func (c *comparison) without(server string) *comparison {
	x := c.servers[server]
	return &comparison{criterion: c.criterion, answers: c.answers - x.answers, bad: c.bad - x.bad, expected: c.expected - x.expected, slices: c.slices}
}

// worst returns the server that adds most to the bad answers beyond what is expected.
func (c *comparison) worst() string {
	worst, most := "", math.Inf(-1)
	for name, x := range c.servers {
		if excess := x.bad - x.expected; excess > most || excess == most && name < worst {
			worst, most = name, excess
		}
	}
	return worst
}

// Judge compares the target version with the others: on all routes and on each, over all of the time and over its last
// parts, by failures and by latency. servers is the number of servers of the target version: if there are several, one
// bad one is no verdict.
func (e *Evidence) Judge(servers int) Verdict {
	samples, routes := e.samples()
	if len(routes) != 1 {
		routes = append([]string{""}, routes...)
	}
	best := Verdict{}
	for _, route := range routes {
		for _, window := range windows(samples) {
			v := judge(window, route, servers)
			if v.Bad {
				return v
			}
			best = best.orWorse(v)
		}
	}
	return best
}

// windows returns the parts of the time to judge by: all of it, its halves, quarters and so on up to now, and the slices in
// which servers had the load of an old one.
func windows(samples []sampleSlice) [][]sampleSlice {
	var out [][]sampleSlice
	for length := len(samples); length > 0; length = shorter(length) {
		out = append(out, samples[len(samples)-length:])
	}
	var loaded []sampleSlice
	for _, s := range samples {
		if s.loaded {
			loaded = append(loaded, s)
		}
	}
	if len(loaded) == 0 {
		return out
	}
	return append(out, loaded)
}

// shorter returns the next shorter length, or 0.
func shorter(length int) int {
	if length <= 2 {
		return 0
	}
	return max(2, length/2)
}

// orWorse returns x if it says more against the version.
func (v Verdict) orWorse(x Verdict) Verdict {
	switch {
	case v.Suspect != "" && x.Suspect == "":
		return v
	case x.Suspect != "" && v.Suspect == "" || x.Evidence > v.Evidence:
		return x
	}
	return v
}

// judge judges by failures and by each latency, on one route or on all.
func judge(samples []sampleSlice, route string, servers int) Verdict {
	best := Verdict{}
	for _, criterion := range criteria {
		buckets := 1
		if criterion.slow {
			buckets = Buckets - minSlowBucket
		}
		for i := range buckets {
			c := compare(samples, route, criterion, minSlowBucket+i)
			if c.bad < minBad {
				break
			}
			v := verdictOf(c, servers)
			v.Route, v.Slow = route, criterion.slow
			if v.Bad {
				return v
			}
			best = best.orWorse(v)
		}
	}
	return best
}

func verdictOf(c *comparison, servers int) Verdict {
	v := Verdict{Answers: int64(c.answers)}
	if c.answers > 0 {
		v.Observed, v.Expected = c.bad/c.answers, c.expected/c.answers
	}
	all := c.evidence()
	v.Doubt, v.Evidence = all >= doubtEvidence, all
	if servers < 2 {
		v.Bad = all >= minEvidence && c.slices >= 2
		return v
	}
	if all < lastEvidence {
		return v
	}
	worst := c.worst()
	if c.without(worst).evidence() < minOtherEvidence {
		v.Suspect = worst
		return v
	}
	v.Bad = all >= minEvidence && c.slices >= 2
	return v
}

// sums are counts in a form from which a measure is read at once: from has the good answers in a bucket and above.
type sums struct {
	bad  float64
	from [Buckets + 1]float64
}

func newSums(c *counts) *sums {
	s := &sums{bad: float64(c.bad)}
	for i := Buckets - 1; i >= 0; i-- {
		s.from[i] = s.from[i+1] + float64(c.good[i])
	}
	return s
}

// measure returns the bad answers and all answers, of the target version or of the others. bucket is the first in which
// an answer of the target version is late.
func (c criterion) measure(s *sums, target bool, bucket int) (bad, all float64) {
	switch {
	case !c.slow:
		return s.bad, s.bad + s.from[0]
	case target:
		return s.from[bucket], s.from[0]
	default:
		return s.from[max(0, bucket-c.shift)], s.from[0]
	}
}

// sample holds the answers of a server of the target version, of one route, stratum and slice of time, and those of the
// other versions that are like them, the most alike last.
type sample struct {
	route, server string
	answers       *sums
	others        []*sums
}

// sampleSlice holds the samples of a slice of time.
type sampleSlice struct {
	samples      []sample
	loaded, long bool
}

// stratumKey names like requests.
type stratumKey struct{ route, stratum string }

// samples returns the answers of the target version by slice of time, and the routes.
func (e *Evidence) samples() (out []sampleSlice, routes []string) {
	averages, seen := map[stratumKey]*counts{}, map[string]bool{}
	for _, s := range e.slices {
		addOthers(averages, s.cells)
	}
	ever := sumsOf(averages)
	for _, s := range e.slices {
		others := map[stratumKey]*counts{}
		addOthers(others, s.cells)
		now := sumsOf(others)
		var samples []sample
		for _, k := range slices.SortedFunc(maps.Keys(s.cells), compareRows) {
			seen[k.route] = true
			if k.server == "" {
				continue
			}
			x := sample{route: k.route, server: k.server, answers: newSums(s.cells[k])}
			for _, source := range []map[stratumKey]*sums{ever, now} {
				for _, key := range []stratumKey{{k.route, ""}, {k.route, k.stratum}} {
					if like, ok := source[key]; ok {
						x.others = append(x.others, like)
					}
				}
			}
			samples = append(samples, x)
		}
		out = append(out, sampleSlice{samples, s.loaded, s.long})
	}
	return out, slices.Sorted(maps.Keys(seen))
}

func sumsOf(m map[stratumKey]*counts) map[stratumKey]*sums {
	out := make(map[stratumKey]*sums, len(m))
	for k, c := range m {
		out[k] = newSums(c)
	}
	return out
}

// addOthers adds the answers of the other versions, by stratum and, under the empty stratum, by route.
func addOthers(out map[stratumKey]*counts, cells map[rowKey]*counts) {
	for k, c := range cells {
		if k.server != "" {
			continue
		}
		for _, key := range []stratumKey{{k.route, ""}, {k.route, k.stratum}} {
			x, ok := out[key]
			if !ok {
				x = new(counts)
				out[key] = x
			}
			x.add(c)
			if k.stratum == "" {
				break
			}
		}
	}
}

// compare sums the answers of the target version, and what the others' answers let expect of them.
func compare(samples []sampleSlice, route string, c criterion, bucket int) *comparison {
	sum := &comparison{criterion: c, servers: map[string]*comparison{}}
	for _, slice := range samples {
		before := sum.bad
		for _, x := range slice.samples {
			if route == "" || x.route == route {
				bad, all := c.measure(x.answers, true, bucket)
				sum.add(x.server, bad, all, all*x.expected(c, bucket))
			}
		}
		switch {
		case sum.bad > before && slice.long:
			sum.slices += 2
		case sum.bad > before:
			sum.slices++
		}
	}
	return sum
}

func (c *comparison) add(server string, bad, all, expected float64) {
	x, ok := c.servers[server]
	if !ok {
		x = &comparison{}
		c.servers[server] = x
	}
	for _, y := range []*comparison{c, x} {
		y.bad += bad
		y.answers += all
		y.expected += expected
	}
}

// expected returns the fraction of bad answers of the others: of the same stratum at the same time, as far as there are
// enough, else of the route at that time, of the stratum and of the route at any time.
func (x sample) expected(c criterion, bucket int) float64 {
	p := priorFraction
	for _, like := range x.others {
		bad, all := c.measure(like, false, bucket)
		p = (bad + priorAnswers*p) / (all + priorAnswers)
	}
	return p
}
