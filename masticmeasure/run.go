package masticmeasure

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"masticladder/masticerror"
)

// Options choose what Run measures.
type Options struct {
	Seed uint64
	// Deployment, Scenario and Policy limit the run to those with the names; empty is all.
	Deployment, Scenario, Policy string
	// until shortens the traffic in tests; zero is trafficUntil.
	until time.Duration
}

// steadyScenario is the one that others are compared with.
const steadyScenario = "steady"

// Run measures each policy in each scenario of both deployments.
func Run(o Options) (Report, error) {
	r := Report{Seed: o.Seed}
	for _, d := range []deployment{association, glenmorven} {
		if o.Deployment != "" && o.Deployment != d.name {
			continue
		}
		l := newLibrary()
		steady := map[string]baseTimes{}
		for _, s := range scenarios {
			s.until = cmp.Or(o.until, trafficUntil)
			r.Rows = append(r.Rows, runScenario(o, d, s, l, steady)...)
		}
	}
	if len(r.Rows) == 0 {
		return r, masticerror.New(masticerror.KindBadRequest, "no deployment %q, scenario %q or policy %q", o.Deployment, o.Scenario, o.Policy)
	}
	return r, nil
}

// runScenario runs the chosen policies; the steady scenario always runs, since the
// others are compared with it.
func runScenario(o Options, d deployment, s scenario, l *library, steady map[string]baseTimes) []Row {
	wanted := o.Scenario == "" || o.Scenario == s.name
	if !wanted && s.name != steadyScenario {
		return nil
	}
	var rows []Row
	arrivals := traffic(o.Seed, d, s, l)
	for _, p := range policies {
		if o.Policy != "" && o.Policy != p.name {
			continue
		}
		m := newSimulation(o.Seed, d, s, p)
		m.run(arrivals)
		byWorkspace := m.workspaceTimes()
		if s.name == steadyScenario {
			steady[p.name] = baseTimes{byWorkspace, worstWindow(m.calls)}
		}
		if wanted {
			rows = append(rows, m.row(p.name, byWorkspace, steady[p.name]))
		}
	}
	return rows
}

// baseTimes are the waits of a policy in the steady scenario.
type baseTimes struct {
	byWorkspace []time.Duration
	worstWindow time.Duration
}

// workspaceTimes returns the 99th percentile of each workspace.
func (m *simulation) workspaceTimes() []time.Duration {
	var out []time.Duration
	for w := range m.deployment.shares {
		t := collect(m.calls, func(c *call) bool { return measured(c) && c.arrival.workspace == w })
		out = append(out, t.quantile(99))
	}
	return out
}

func (m *simulation) row(policy string, byWorkspace []time.Duration, steady baseTimes) Row {
	all := collect(m.calls, measured)
	urgent := collect(m.calls, func(c *call) bool { return measured(c) && quick(c) })
	t := m.tally
	r := Row{
		Deployment: m.deployment.name, Scenario: m.scenario.name, Policy: policy,
		HitPercent: percent(t.prefix-t.computed, t.prefix),
		P50Millis:  millis(all.quantile(50)), P99Millis: millis(all.quantile(99)),
		QuickP50Millis: millis(urgent.quantile(50)), QuickP99Millis: millis(urgent.quantile(99)),
		ComputedTokens: t.computed, RecomputedPercent: percent(t.computed, t.unavoidable),
		RecoveryMillis: millis(recovery(m.calls, steady.worstWindow)),
	}
	m.addWorst(&r, byWorkspace, steady.byWorkspace)
	m.addRefusals(&r)
	m.addLookUps(&r)
	return r
}

func (m *simulation) addWorst(r *Row, byWorkspace, steady []time.Duration) {
	for w, p99 := range byWorkspace {
		if w == m.scenario.loud {
			continue
		}
		if ms := millis(p99); ms > r.WorstP99Millis {
			r.Worst, r.WorstP99Millis = fmt.Sprint(w), ms
		}
		r.WorstToSteadyPercent = max(r.WorstToSteadyPercent, percent(int64(p99), int64(steady[w])))
	}
}

func (m *simulation) addRefusals(r *Row) {
	for _, c := range m.calls {
		if !measured(c) {
			continue
		}
		r.Requests++
		switch {
		case c.refused == "" && c.firstTokenAt == 0:
			r.Unanswered++
		case c.refused != "" && c.arrival.workspace == m.scenario.loud:
			r.Refusals++
		case c.refused != "":
			r.WrongfulRefusals++
		}
	}
}

func (m *simulation) addLookUps(r *Row) {
	var lookUps, decided int64
	for _, h := range m.hosts {
		lookUps += h.lookUps
		decided += h.decided
	}
	if decided > 0 {
		r.LookUpsHundredths = lookUps * 100 / decided
	}
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	var out []string
	for _, s := range scenarios {
		out = append(out, s.name)
	}
	return slices.Clip(out)
}
