package masticmeasure

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"masticladder/masticerror"
)

// Options select what Run measures.
type Options struct {
	Seed uint64
	// Deployment, Scenario and Policy limit the run to the one of that name; empty means all.
	Deployment, Scenario, Policy string
	// trafficEnd shortens the traffic in tests; zero means defaultTrafficEnd.
	trafficEnd time.Duration
}

// steadyScenario is the scenario that the others are compared with.
const steadyScenario = "steady"

// Run measures each selected policy in each selected scenario and deployment. It returns
// an error if the options select nothing.
func Run(o Options) (Report, error) {
	r := Report{Seed: o.Seed}
	for _, d := range []deployment{association, glenmorven} {
		if o.Deployment != "" && o.Deployment != d.name {
			continue
		}
		l := newPromptLibrary()
		steady := map[string]steadyLatencies{}
		for _, s := range scenarios {
			s.trafficEnd = cmp.Or(o.trafficEnd, defaultTrafficEnd)
			r.Rows = append(r.Rows, runScenario(o, d, s, l, steady)...)
		}
	}
	if len(r.Rows) == 0 {
		return r, masticerror.New(masticerror.KindBadRequest, "no deployment %q, scenario %q or policy %q", o.Deployment, o.Scenario, o.Policy)
	}
	return r, nil
}

// runScenario returns the rows of the selected policies. The steady scenario always runs,
// since the others are compared with it.
func runScenario(o Options, d deployment, s scenario, l *promptLibrary, steady map[string]steadyLatencies) []Row {
	wanted := o.Scenario == "" || o.Scenario == s.name
	if !wanted && s.name != steadyScenario {
		return nil
	}
	var rows []Row
	arrivals := drawTraffic(o.Seed, d, s, l)
	for _, p := range policies {
		if o.Policy != "" && o.Policy != p.name {
			continue
		}
		m := newSimulation(o.Seed, d, s, p)
		m.run(arrivals)
		p99ByWorkspace := m.workspaceP99s()
		if s.name == steadyScenario {
			steady[p.name] = steadyLatencies{p99ByWorkspace, worstWindowMean(m.calls)}
		}
		if wanted {
			rows = append(rows, m.row(p.name, p99ByWorkspace, steady[p.name]))
		}
	}
	return rows
}

// steadyLatencies are times to first token of a policy in the steady scenario.
type steadyLatencies struct {
	p99ByWorkspace  []time.Duration
	worstWindowMean time.Duration
}

// workspaceP99s returns the 99th percentile of the time to first token of each workspace.
func (m *simulation) workspaceP99s() []time.Duration {
	var out []time.Duration
	for w := range m.deployment.shares {
		t := sortedLatencies(m.calls, func(c *call) bool { return isMeasured(c) && c.arrival.workspace == w })
		out = append(out, t.quantile(99))
	}
	return out
}

func (m *simulation) row(policy string, p99ByWorkspace []time.Duration, steady steadyLatencies) Row {
	all := sortedLatencies(m.calls, isMeasured)
	quickOnly := sortedLatencies(m.calls, func(c *call) bool { return isMeasured(c) && isQuick(c) })
	t := m.tokenCounts
	r := Row{
		Deployment: m.deployment.name, Scenario: m.scenario.name, Policy: policy,
		HitPercent: percent(t.prefix-t.computed, t.prefix),
		P50Millis:  millis(all.quantile(50)), P99Millis: millis(all.quantile(99)),
		QuickP50Millis: millis(quickOnly.quantile(50)), QuickP99Millis: millis(quickOnly.quantile(99)),
		ComputedTokens: t.computed, RecomputedPercent: percent(t.computed, t.unavoidable),
		RecoveryMillis: millis(recoveryTime(m.calls, steady.worstWindowMean)),
	}
	m.addWorst(&r, p99ByWorkspace, steady.p99ByWorkspace)
	m.addRefusals(&r)
	m.addLookUps(&r)
	return r
}

func (m *simulation) addWorst(r *Row, p99ByWorkspace, steadyP99s []time.Duration) {
	for w, p99 := range p99ByWorkspace {
		if w == m.scenario.overRateWorkspace {
			continue
		}
		if ms := millis(p99); ms > r.WorstP99Millis {
			r.Worst, r.WorstP99Millis = fmt.Sprint(w), ms
		}
		r.WorstToSteadyPercent = max(r.WorstToSteadyPercent, percent(int64(p99), int64(steadyP99s[w])))
	}
}

func (m *simulation) addRefusals(r *Row) {
	for _, c := range m.calls {
		if !isMeasured(c) {
			continue
		}
		r.Requests++
		switch {
		case c.refusalKind == "" && c.firstTokenAt == 0:
			r.Unanswered++
		case c.refusalKind != "" && c.arrival.workspace == m.scenario.overRateWorkspace:
			r.Refusals++
		case c.refusalKind != "":
			r.WrongfulRefusals++
		}
	}
}

func (m *simulation) addLookUps(r *Row) {
	var lookUps, assignments int64
	for _, h := range m.hosts {
		lookUps += h.lookUps
		assignments += h.assignments
	}
	if assignments > 0 {
		r.LookUpsHundredths = lookUps * 100 / assignments
	}
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	var out []string
	for _, s := range scenarios {
		out = append(out, s.name)
	}
	return slices.Clip(out)
}
