package masticrollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"masticladder/masticview"
)

// Fractions of the time from the order to the deadline at which steps are taken. A version may become bad late, so that
// it is observed for more than half of the time; the old servers need some of the rest to complete what runs.
const (
	observeFrom    = 0.04
	loadFrom       = 0.26
	loadPart       = 0.14
	minConfirmPart = 0.05
	drainFrom      = 0.53
	skipTrialFrom  = 0.6
	trialEnd       = 0.66
	trialPart      = 0.12
	trialFuture    = 0.4
	trialInDoubt   = 0.15
	minObservePart = 0.12
	// minDrainPart is the least time for which the version is judged with all of the traffic.
	minDrainPart    = 0.07
	closeFrom       = 0.82
	lastChance      = 0.965
	maxLastChance   = time.Second
	minObserveShare = 0.01
	maxObserveShare = 0.25
	maxLoadShare    = 0.5
	// trialFrom is the index of the first server that the trial loads: another one than in the load step.
	trialFrom = 1
	// minFocus is the least number of servers that get the load of an old one each. With more than one, the allowance is
	// used up before hosts have counted enough answers under that load.
	minFocus = 1
	// observeBudget, loadBudget and confirmBudget are the parts of the planned exposure up to which these steps send
	// requests to the target version.
	observeBudget = 0.15
	loadBudget    = 0.65
	confirmBudget = 0.8
	// enoughAnswers is the number of answers by which a version is judged, or enoughShare of the requests if they are few.
	enoughAnswers = 30
	enoughShare   = 0.012
	// carryFraction is the fraction of the old servers' slots that the new ones need, and carryFactor that of the
	// requests that run.
	carryFraction = 0.9
	carryFactor   = 2
)

// Servers are the active backend servers of a service.
type Servers struct {
	// Targets are the names of those of the target version, in order. Others is the number of the others.
	Targets []string
	Others  int
	// TargetSlots and OtherSlots are the sums of their slots; a server that states none counts one.
	TargetSlots, OtherSlots int64
}

// ServersOf returns the active servers of a rollout's service.
func ServersOf(v masticview.View, r masticview.Rollout) Servers {
	s := Servers{}
	for _, x := range v.Servers() {
		switch {
		case x.Service != r.Service || x.State != masticview.ServerActive && x.State != masticview.ServerLoading:
		case x.Software == r.Target:
			s.Targets = append(s.Targets, x.Name)
			s.TargetSlots += max(1, x.Slots)
		default:
			s.Others++
			s.OtherSlots += max(1, x.Slots)
		}
	}
	return s
}

// Situation is what Decide decides by.
type Situation struct {
	Rollout  masticview.Rollout
	Servers  Servers
	Evidence *Evidence
	// Removed reports that the document no longer names the service.
	Removed bool
	// Heard reports that all hosts have reported to this leader. Without that it takes no step towards the target version.
	Heard bool
	// Confirmed reports that the hosts apply the step and that nothing runs on other versions.
	Confirmed bool
}

// Decision is the next step, or the step in force if Changed is false. Verdict and Totals are what it was decided by.
type Decision struct {
	Next    masticview.Rollout
	Changed bool
	Verdict Verdict
	Totals  Totals
}

// Decide returns the next step of a rollout.
func Decide(now time.Time, b Bounds, s Situation) Decision {
	d := Decision{Next: s.Rollout, Totals: s.Evidence.Totals(now)}
	if s.Rollout.Step.Final() {
		return d
	}
	s.Evidence.loaded = s.Rollout.Step == masticview.RolloutLoad || s.Rollout.Step == masticview.RolloutTrial
	if s.Rollout.Step != masticview.RolloutWait {
		d.Verdict = s.Evidence.Judge(len(s.Servers.Targets))
	}
	p := &planner{now: now, bounds: b, situation: s, decision: &d}
	p.decide()
	return d
}

// planner makes one Decision.
type planner struct {
	now       time.Time
	bounds    Bounds
	situation Situation
	decision  *Decision
}

func (p *planner) step(step masticview.RolloutStep, share float64, focus []string, reason string) {
	p.decision.Next = p.situation.Rollout.WithStep(p.now, step, int64(share*masticview.WholeShare), focus, reason)
	p.decision.Changed = true
}

// allow sets the allowance of the step that was taken, to the given part of the planned exposure.
func (p *planner) allow(budget float64) {
	p.decision.Next = p.decision.Next.WithAllowance(int64(min(budget*p.planned(), p.most())))
}

// most returns the largest allowance that the requests so far permit.
func (p *planner) most() float64 {
	return mostFraction * (p.bounds.ExposureShare*float64(p.decision.Totals.Requests) + p.bounds.ExposureSlack)
}

// elapsed returns the fraction of the time from the order to the deadline that has passed, and inStep that since the step.
func (p *planner) elapsed() float64 {
	r := p.situation.Rollout
	return float64(p.now.Sub(r.OrderedAt)) / float64(max(1, r.Span()))
}

func (p *planner) inStep() float64 {
	r := p.situation.Rollout
	return float64(p.now.Sub(r.StepAt)) / float64(max(1, r.Span()))
}

func (p *planner) decide() {
	r, s := p.situation.Rollout, p.situation.Servers
	switch {
	case p.situation.Removed:
		p.step(masticview.RolloutRolledBack, 0, nil, "the document has no such service")
	case p.decision.Verdict.Bad:
		p.step(masticview.RolloutRolledBack, 0, nil, p.decision.Verdict.text())
	case !p.now.Before(p.lastChance()):
		p.step(masticview.RolloutRolledBack, 0, nil, "deadline: "+p.stalledBy())
	case !p.situation.Heard:
	case r.Step == masticview.RolloutWait:
		if len(s.Targets) > 0 && p.elapsed() >= observeFrom && p.elapsed() <= skipTrialFrom {
			p.step(masticview.RolloutObserve, p.observeShare(observeBudget, loadFrom), nil, "servers of the target version are listed")
			p.allow(observeBudget)
		}
	case r.Step == masticview.RolloutObserve:
		p.afterObserve()
	case r.Step == masticview.RolloutLoad:
		p.afterLoad()
	case r.Step == masticview.RolloutConfirm:
		p.afterConfirm()
	case r.Step == masticview.RolloutTrial:
		p.afterTrial()
	case r.Step == masticview.RolloutDrain:
		if p.situation.Confirmed && p.inStep() >= minDrainPart || p.elapsed() >= closeFrom {
			p.step(masticview.RolloutClose, 1, nil, "new requests go to the target version")
		}
	case r.Step == masticview.RolloutClose && p.situation.Confirmed:
		p.step(masticview.RolloutCompleted, 1, nil, "nothing runs on other versions")
	}
}

// lastChance returns when a rollout that is not complete is rolled back.
func (p *planner) lastChance() time.Time {
	r := p.situation.Rollout
	return r.Deadline.Add(-min(maxLastChance, time.Duration((1-lastChance)*float64(r.Span()))))
}

// mostOfTrial returns the largest allowance that the requests so far permit, with trialFuture of those that follow if the traffic
// goes on. With the requests so far alone, versions of which 15 % of the answers fail were not known as bad in time.
func (p *planner) mostOfTrial() float64 {
	requests := float64(p.decision.Totals.Requests)
	left := requests / max(observeFrom, p.elapsed()) * max(0, 1-p.elapsed())
	return p.most() + mostFraction*p.bounds.ExposureShare*trialFuture*left
}

func (p *planner) afterObserve() {
	if p.inStep() < minObservePart || p.elapsed() < loadFrom && p.inStep() < loadFrom-observeFrom {
		return
	}
	focus, share := p.focus(0)
	p.step(masticview.RolloutLoad, share, focus, "the target version is tried under the load of an old server")
	p.allow(loadBudget)
}

func (p *planner) afterLoad() {
	r := p.situation.Rollout
	if suspect := p.decision.Verdict.Suspect; slices.Contains(r.Focus, suspect) && len(p.situation.Servers.Targets) > len(r.Focus) {
		focus, share := p.focus(1 + slices.Index(p.situation.Servers.Targets, suspect))
		p.step(masticview.RolloutLoad, share, focus, "one server of the target version is bad, another one is tried")
		p.decision.Next = p.decision.Next.WithAllowance(int64(p.most()))
		return
	}
	if p.inStep() >= loadPart || float64(p.decision.Totals.Exposed) >= loadBudget*p.planned() {
		p.step(masticview.RolloutConfirm, p.observeShare(confirmBudget, drainFrom), nil, "the load of an old server was tried")
		p.allow(confirmBudget)
	}
}

func (p *planner) afterConfirm() {
	if !p.proven() || !p.carries() {
		return
	}
	if p.elapsed() >= skipTrialFrom {
		// Leaders ended or servers came late: there is no time left for the trial.
		p.step(masticview.RolloutDrain, 1, nil, "the target version is as good as the others")
		return
	}
	focus, share := p.focus(trialFrom)
	p.step(masticview.RolloutTrial, share, focus, "the target version is as good as the others so far")
	p.decision.Next = p.decision.Next.WithAllowance(int64(p.mostOfTrial()))
}

// afterTrial moves the traffic once the answers of the trial are there. It is about the last that the bounds permit: a version
// that is bad after all gets all requests until that shows.
func (p *planner) afterTrial() {
	v := p.decision.Verdict
	switch {
	case p.elapsed() < trialEnd && (p.inStep() < trialPart || v.Doubt && p.inStep() < trialInDoubt):
	case v.Evidence >= lastEvidence && v.Suspect == "":
		p.step(masticview.RolloutRolledBack, 0, nil, v.text())
	default:
		p.step(masticview.RolloutDrain, 1, nil, "the target version is as good as the others")
	}
}

// focus returns the servers that get the load of an old one each, from the given index on, and the share for them.
func (p *planner) focus(from int) ([]string, float64) {
	s := p.situation.Servers
	n := min(len(s.Targets), masticview.MaxRolloutFocus, max(minFocus, int(float64(s.Others)*aimFraction*p.bounds.ExposureShare)))
	var focus []string
	for i := range n {
		focus = append(focus, s.Targets[(from+i)%len(s.Targets)])
	}
	slices.Sort(focus)
	return focus, min(maxLoadShare, float64(n)/float64(max(1, s.Others)))
}

// planned returns the number of requests that the target version may get by the deadline, by the requests so far.
func (p *planner) planned() float64 {
	requests := float64(p.decision.Totals.Requests) / max(observeFrom, min(1, p.elapsed()))
	return aimFraction * (p.bounds.ExposureShare*requests + p.bounds.ExposureSlack)
}

// observeShare returns the share by which an observation until the given part of the time uses the given part of the
// planned exposure.
func (p *planner) observeShare(budget, until float64) float64 {
	requests := float64(p.decision.Totals.Requests) / max(observeFrom, p.elapsed()) * max(minObservePart, until-p.elapsed())
	left := budget*p.planned() - float64(p.decision.Totals.Exposed)
	return min(maxObserveShare, max(minObserveShare, left/max(1, requests)))
}

// proven reports whether the target version is known to be as good as the others.
func (p *planner) proven() bool {
	t := p.decision.Totals
	enough := min(enoughAnswers, enoughShare*float64(t.Requests))
	switch {
	case p.elapsed() < drainFrom || p.inStep() < minConfirmPart || len(p.situation.Servers.Targets) == 0:
		return false
	case p.elapsed() < skipTrialFrom:
		return float64(t.Answers) >= enough
	default:
		return float64(t.Answers) >= enough/2
	}
}

// carries reports whether the target version's servers can carry all of the traffic.
func (p *planner) carries() bool {
	s, t := p.situation.Servers, p.decision.Totals
	return float64(s.TargetSlots) >= carryFraction*float64(s.OtherSlots) || s.TargetSlots >= carryFactor*max(1, t.RunningOther+t.RunningTarget)
}

// stalledBy returns why a rollout has not gone on.
func (p *planner) stalledBy() string {
	switch step := p.situation.Rollout.Step; {
	case !p.situation.Heard:
		return "not all hosts have reported what they counted"
	case len(p.situation.Servers.Targets) == 0:
		return "no server of the target version is listed"
	case step == masticview.RolloutDrain || step == masticview.RolloutClose:
		return fmt.Sprintf("%d requests run on other versions, or hosts have not confirmed the step", p.decision.Totals.RunningOther)
	case !p.carries():
		return fmt.Sprintf("the servers of the target version have %d slots, the others %d", p.situation.Servers.TargetSlots, p.situation.Servers.OtherSlots)
	case p.decision.Verdict.Doubt:
		return p.decision.Verdict.text()
	default:
		return fmt.Sprintf("%d answers of the target version", p.decision.Totals.Answers)
	}
}

// text describes the difference between the versions.
func (v Verdict) text() string {
	kind := "failed"
	if v.Slow {
		kind = "late"
	}
	return fmt.Sprintf("%.0f %% of %d answers %s, %.0f %% expected, route %.64q", 100*v.Observed, v.Answers, kind, 100*v.Expected, cmp.Or(v.Route, "all"))
}
