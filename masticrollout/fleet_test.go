package masticrollout

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"masticladder/masticview"
)

// seeds is the number of rollouts of each case; docs/MEASUREMENTS.md has a table of more.
var seeds = flag.Int("seeds", 12, "rollouts simulated in each case")

const (
	simulatedService  = "huvo"
	simulatedDeadline = 12 * time.Second
	simulatedRate     = 212
	simulatedHosts    = 85
	reportInterval    = 200 * time.Millisecond
	decideInterval    = 100 * time.Millisecond
	loadWindow        = 300 * time.Millisecond
	leaseLifetime     = 1500 * time.Millisecond
)

// simulatedServer answers with a latency and with failures that depend on the case.
type simulatedServer struct {
	view masticview.Server
	// recent are the times of the requests of the last loadWindow.
	recent []time.Duration
}

// attemptInput is what a server's answer depends on.
type attemptInput struct {
	at     time.Duration
	server masticview.Server
	route  string
	// load is the number of requests that the server got in the last loadWindow, as a multiple of what each old server gets
	// of all requests.
	load float64
}

// answerModel returns the chance of a failure and the factor of the latency.
type answerModel func(x attemptInput, draw float64) (failure, factor float64)

func isTarget(x attemptInput) bool { return x.server.Software == "v2" }

// simulation is one rollout over all hosts, in injected time.
type simulation struct {
	random   *rand.Rand
	start    time.Time
	rollout  masticview.Rollout
	view     masticview.View
	servers  []*simulatedServer
	hosts    []*simulatedHost
	evidence *Evidence
	model    answerModel
	rate     func(at time.Duration) float64
	// endsLeader reports that each step loses its leader, which takes 0.6 s to replace.
	endsLeader bool
	leaderless time.Duration
	// endedIn is the last step whose leader ended.
	endedIn     uint64
	requests    int
	exposed     int
	exposedLate int
	bad         int
	badAt       time.Duration
	endedAt     time.Duration
	steps       []masticview.RolloutStep
	badOnOld    bool
}

type simulatedHost struct {
	name      string
	weight    float64
	traffic   *Traffic
	running   []runningAttempt
	nextAsk   time.Duration
	lastTouch time.Duration
	// silentFrom and silentUntil bound the time without contact to control.
	silentFrom, silentUntil time.Duration
	pending                 []masticview.View
	pendingAt               []time.Duration
}

type runningAttempt struct {
	endsAt    time.Duration
	placement *Placement
	outcome   Outcome
	server    masticview.Server
}

func newSimulation(seed uint64, model answerModel) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_000_000, 0), model: model,
		rate: func(time.Duration) float64 { return simulatedRate },
	}
	for i := range 4 {
		for _, version := range []string{"v1", "v2"} {
			x := masticview.Server{
				Name: fmt.Sprint(version, "-", i), Service: simulatedService, Software: version, State: masticview.ServerActive,
				Zone: fmt.Sprint("zone", i%3), Slots: 6,
			}
			s.servers = append(s.servers, &simulatedServer{view: x})
			s.view = s.view.WithServer(x)
		}
	}
	s.view = s.view.WithRevision(1)
	weights := 0.0
	for i := range simulatedHosts {
		weights += 1 + float64(i%7)
		s.view = s.view.WithHost(masticview.Host{Name: fmt.Sprint("host", i), Address: "x", Weight: int64(1 + i%7), State: masticview.HostLive})
	}
	for i := range simulatedHosts {
		h := &simulatedHost{name: fmt.Sprint("host", i), weight: (1 + float64(i%7)) / weights, nextAsk: time.Duration(s.random.Int64N(int64(reportInterval)))}
		h.traffic = NewTraffic(h.name)
		h.traffic.SetView(s.view)
		s.hosts = append(s.hosts, h)
	}
	s.rollout = masticview.Rollout{
		Service: simulatedService, Target: "v2", OrderedAt: s.start, StepAt: s.start, Deadline: s.start.Add(simulatedDeadline),
		Step: masticview.RolloutWait, Sequence: 1, FirstSequence: 1,
	}
	s.evidence = NewEvidence(s.rollout)
	s.publish(0)
	return s
}

func (s *simulation) time(at time.Duration) time.Time { return s.start.Add(at) }

// publish sends the step in force to all hosts, which apply it 20 to 400 ms later.
func (s *simulation) publish(at time.Duration) {
	s.view = s.view.WithRollout(s.rollout).WithRevision(s.view.Revision() + 1)
	for _, h := range s.hosts {
		h.pending = append(h.pending, s.view)
		h.pendingAt = append(h.pendingAt, at+20*time.Millisecond+time.Duration(s.random.Int64N(int64(380*time.Millisecond))))
	}
	s.steps = append(s.steps, s.rollout.Step)
}

// run simulates until 1 s after the deadline.
func (s *simulation) run() {
	nextDecision := time.Duration(0)
	const tick = 5 * time.Millisecond
	for at := time.Duration(0); at < simulatedDeadline+time.Second; at += tick {
		for _, h := range s.hosts {
			s.contact(at, h)
			h.finish(s, at)
		}
		for range s.arrivals(s.rate(at) * tick.Seconds()) {
			s.request(at, s.pickHost())
		}
		if at >= nextDecision && at >= s.leaderless {
			nextDecision = at + decideInterval
			s.decide(at)
		}
	}
}

// arrivals draws a Poisson number.
func (s *simulation) arrivals(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := s.random.Float64(); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *simulation) pickHost() *simulatedHost {
	x := s.random.Float64()
	for _, h := range s.hosts {
		if x -= h.weight; x < 0 {
			return h
		}
	}
	return s.hosts[0]
}

// contact applies views that have arrived, and reports.
func (s *simulation) contact(at time.Duration, h *simulatedHost) {
	if at >= h.silentFrom && at < h.silentUntil {
		return
	}
	for len(h.pending) > 0 && at >= h.pendingAt[0] {
		h.traffic.SetView(h.pending[0])
		h.pending, h.pendingAt = h.pending[1:], h.pendingAt[1:]
	}
	if at < h.nextAsk || at < s.leaderless {
		return
	}
	h.nextAsk, h.lastTouch = at+reportInterval, at
	for _, p := range h.traffic.Reports() {
		s.evidence.Add(s.time(at), h.name, "1", p)
	}
}

func (h *simulatedHost) finish(s *simulation, at time.Duration) {
	h.running = slices.DeleteFunc(h.running, func(x runningAttempt) bool {
		if x.endsAt > at {
			return false
		}
		x.placement.End(x.outcome)
		if x.server.Software == "v2" && x.outcome.Bad {
			if s.bad++; s.bad == 50 {
				s.badAt = at
			}
		}
		return true
	})
}

func (s *simulation) request(at time.Duration, h *simulatedHost) {
	for first := true; ; first = false {
		p, err := h.traffic.Begin(s.time(at), Ask{Service: simulatedService, First: first, Repeated: false, Leased: at-h.lastTouch < leaseLifetime, Random: s.random.Float64()})
		if err != nil {
			panic(err)
		}
		if server := s.pickServer(p); server != nil {
			s.send(at, h, p, server)
			return
		}
		p.Abandon()
		if !first {
			return
		}
	}
}

func (s *simulation) pickServer(p *Placement) *simulatedServer {
	var allowed []*simulatedServer
	for _, x := range s.servers {
		if p.Software.Allows(x.view.Software) && !slices.Contains(p.Avoid, x.view.Name) {
			allowed = append(allowed, x)
		}
	}
	if len(allowed) == 0 {
		return nil
	}
	return allowed[s.random.IntN(len(allowed))]
}

func (s *simulation) send(at time.Duration, h *simulatedHost, p *Placement, x *simulatedServer) {
	for len(x.recent) > 0 && x.recent[0] < at-loadWindow {
		x.recent = x.recent[1:]
	}
	x.recent = append(x.recent, at)
	route := cmp.Or(map[bool]string{true: "hours"}[s.random.Float64() < 0.4], "marks")
	failure, factor := s.model(attemptInput{at, x.view, route, float64(len(x.recent)) / (s.rate(at) / 4 * loadWindow.Seconds())}, s.random.Float64())
	latency := time.Duration(60 * float64(time.Millisecond) * math.Exp(0.5*s.random.NormFloat64()) * factor)
	if at < simulatedDeadline {
		s.requests++
	}
	if x.view.Software == "v2" && at < simulatedDeadline {
		s.exposed++
		if s.badAt > 0 && at > s.badAt+DefaultBounds.RollbackTime {
			s.exposedLate++
		}
	}
	if x.view.Software == "v1" && s.rollout.Step == masticview.RolloutCompleted {
		s.badOnOld = true
	}
	if !p.Assigned(s.time(at), x.view) {
		panic("a server was assigned that the step does not allow")
	}
	h.running = append(h.running, runningAttempt{at + latency, p, Outcome{
		Route: route, Stratum: x.view.Zone, Bad: s.random.Float64() < failure, Latency: latency,
	}, x.view})
}

func (s *simulation) decide(at time.Duration) {
	if s.rollout.Step.Final() {
		return
	}
	var names []string
	for _, h := range s.hosts {
		if at < h.silentFrom || at-h.silentFrom < 2*leaseLifetime || at >= h.silentUntil {
			names = append(names, h.name)
		}
	}
	d := Decide(s.time(at), DefaultBounds, Situation{
		Rollout: s.rollout, Servers: ServersOf(s.view, s.rollout), Evidence: s.evidence, Heard: s.evidence.Heard(names),
		Confirmed: s.evidence.Confirmed(s.time(at), s.rollout.Sequence, names, 2*leaseLifetime),
	})
	if !d.Changed {
		return
	}
	if s.endsLeader && s.endedIn < s.rollout.Sequence {
		s.endedIn = s.rollout.Sequence
		// The leader of each step ends when it decides, before or after its decision is committed. The next one has no evidence until
		// hosts report again.
		s.leaderless, s.evidence = at+600*time.Millisecond, NewEvidence(s.rollout)
		if s.random.Float64() < 0.5 {
			return
		}
	}
	s.rollout = d.Next
	if s.rollout.Step.Final() {
		s.endedAt = at
	}
	s.publish(at)
}

// simulatedCase is one kind of version and what has to become of it.
type simulatedCase struct {
	name  string
	good  bool
	model answerModel
	setUp func(s *simulation)
}

func constant(failure, factor float64) answerModel {
	return func(x attemptInput, _ float64) (float64, float64) {
		if isTarget(x) {
			return failure, factor
		}
		return 0.005, 1
	}
}

func simulatedCases() []simulatedCase {
	good := constant(0.005, 1)
	cases := []simulatedCase{
		{"good", true, good, nil},
		{"all fail", false, constant(1, 1), nil},
		{"30 % fail", false, constant(0.3, 1), nil},
		{"15 % fail", false, constant(0.15, 1), nil},
		{"30 % fail from 5 s on", false, func(x attemptInput, _ float64) (float64, float64) {
			if isTarget(x) && x.at > 5*time.Second {
				return 0.3, 1
			}
			return 0.005, 1
		}, nil},
		{"40 % fail under load", false, func(x attemptInput, _ float64) (float64, float64) {
			if isTarget(x) && x.load > 0.6 {
				return 0.4, 1
			}
			return 0.005, 1
		}, nil},
		{"50 % fail on one route", false, func(x attemptInput, _ float64) (float64, float64) {
			if isTarget(x) && x.route == "hours" {
				return 0.5, 1
			}
			return 0.005, 1
		}, nil},
		{"4 times slower", false, constant(0.005, 4), nil},
		{"a third 5 times slower", false, func(x attemptInput, draw float64) (float64, float64) {
			if isTarget(x) && draw < 0.33 {
				return 0.005, 5
			}
			return 0.005, 1
		}, nil},
		{"good, a new server bad", true, func(x attemptInput, _ float64) (float64, float64) {
			if x.server.Name == "v2-1" {
				return 0.6, 1
			}
			return 0.005, 1
		}, nil},
		{"good, an old server bad", true, func(x attemptInput, _ float64) (float64, float64) {
			if x.server.Name == "v1-1" {
				return 0.6, 3
			}
			return 0.005, 1
		}, nil},
		{"good, a slow zone", true, func(x attemptInput, _ float64) (float64, float64) {
			if x.server.Zone == "zone1" && x.at > 4*time.Second {
				return 0.1, 4
			}
			return 0.005, 1
		}, nil},
		{"good, a burst", true, func(x attemptInput, _ float64) (float64, float64) {
			if x.at > 4*time.Second && x.at < 6*time.Second {
				return 0.3, 4
			}
			return 0.005, 1
		}, func(s *simulation) {
			s.rate = func(at time.Duration) float64 {
				if at > 4*time.Second && at < 6*time.Second {
					return 4 * simulatedRate
				}
				return simulatedRate
			}
		}},
	}
	silent := func(s *simulation) {
		for _, h := range s.hosts[:20] {
			h.silentFrom, h.silentUntil = 3*time.Second, time.Hour
		}
	}
	ends := func(s *simulation) { s.endsLeader = true }
	return append(
		cases,
		simulatedCase{"good, leader ends at each step", true, good, ends},
		simulatedCase{"30 % fail, leader ends at each step", false, constant(0.3, 1), ends},
		simulatedCase{"all fail, 20 hosts without control from 3 s on", false, constant(1, 1), silent},
	)
}

// TestRolloutsOver85Hosts guards against a bad version that gets more requests than the bounds allow or is completed, and
// against a good one that is rolled back.
func TestRolloutsOver85Hosts(t *testing.T) {
	for _, x := range simulatedCases() {
		t.Run(x.name, func(t *testing.T) {
			result := caseResult{}
			for seed := range *seeds {
				s := newSimulation(uint64(seed), x.model)
				if x.setUp != nil {
					x.setUp(s)
				}
				s.run()
				result.add(t, x, s, seed)
			}
			t.Log(result.row(x.name))
		})
	}
}

// caseResult sums the rollouts of one case.
type caseResult struct {
	rollouts, wrong, over int
	exposure              []float64
	ends                  []time.Duration
}

func (r *caseResult) add(t *testing.T, x simulatedCase, s *simulation, seed int) {
	r.rollouts++
	wrong := (s.rollout.Step == masticview.RolloutCompleted) != x.good || !s.rollout.Step.Final() || s.endedAt > simulatedDeadline || s.badOnOld
	if wrong {
		r.wrong++
		if r.wrong < 4 {
			t.Errorf("seed %d: %s at %v: %s %v; %+v", seed, s.rollout.Step, s.endedAt, s.rollout.Reason, s.steps, s.evidence.Totals(s.time(s.endedAt)))
		}
	}
	r.ends = append(r.ends, s.endedAt)
	if x.good {
		return
	}
	bound := DefaultBounds.ExposureShare*float64(s.requests) + DefaultBounds.ExposureSlack
	r.exposure = append(r.exposure, float64(s.exposed)/bound)
	if float64(s.exposed) > bound || s.exposedLate > 0 {
		r.over++
		if r.over < 4 {
			t.Errorf("seed %d: %d of %d requests to a bad version, %d of them late", seed, s.exposed, s.requests, s.exposedLate)
		}
	}
}

func (r *caseResult) row(name string) string {
	slices.Sort(r.ends)
	slices.Sort(r.exposure)
	exposure := "-"
	if n := len(r.exposure); n > 0 {
		exposure = fmt.Sprintf("%.2f / %.2f", r.exposure[n/2], r.exposure[n-1])
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %s | %.1f / %.1f |", name, r.rollouts, r.wrong, r.over, exposure,
		r.ends[len(r.ends)/2].Seconds(), r.ends[len(r.ends)-1].Seconds())
}
