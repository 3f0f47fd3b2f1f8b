package masticview

import (
	"slices"
	"strings"
	"time"

	"masticladder/masticproto"
)

// RolloutStep says where requests of a service may be sent while its traffic moves to another software version.
type RolloutStep string

// The steps of a rollout. The last two are final.
const (
	// RolloutWait: nothing is sent to the target version.
	RolloutWait RolloutStep = "wait"
	// RolloutObserve: a share of the requests is sent to all servers of the target version.
	RolloutObserve RolloutStep = "observe"
	// RolloutLoad: a share is sent to few servers of the target version, each of which has the load of an old one.
	RolloutLoad RolloutStep = "load"
	// RolloutConfirm is RolloutObserve after RolloutLoad.
	RolloutConfirm RolloutStep = "confirm"
	// RolloutTrial is RolloutLoad with all of the allowance, before RolloutDrain.
	RolloutTrial RolloutStep = "trial"
	// RolloutDrain: new requests are sent to the target version only; streams that other versions began continue there.
	RolloutDrain RolloutStep = "drain"
	// RolloutClose: nothing is sent to other versions.
	RolloutClose      RolloutStep = "close"
	RolloutCompleted  RolloutStep = "completed"
	RolloutRolledBack RolloutStep = "rolledBack"
)

// rolloutSteps lists the steps by their number on the wire.
var rolloutSteps = []RolloutStep{RolloutWait, RolloutObserve, RolloutLoad, RolloutDrain, RolloutClose, RolloutCompleted, RolloutRolledBack, RolloutConfirm, RolloutTrial}

// Final reports whether no step follows.
func (s RolloutStep) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

const (
	// MaxRollouts is the maximum number of services with a rollout.
	MaxRollouts = 1024
	// MaxRolloutFocus is the maximum number of servers that Rollout.Focus lists.
	MaxRolloutFocus = 64
	// MaxRolloutSpan is the longest time from the order of a rollout to its deadline.
	MaxRolloutSpan = 7 * 24 * time.Hour
	// WholeShare is the share of all requests.
	WholeShare = 1_000_000
)

// Rollout is the move of the traffic of a service to servers of another software version, running or ended.
type Rollout struct {
	Service, Target     string
	OrderedAt, Deadline time.Time
	Step                RolloutStep
	// StepAt is when Step was committed, Reason why.
	StepAt time.Time
	Reason string
	// Sequence is higher in each step, over all rollouts of the service. FirstSequence is that of the order.
	Sequence, FirstSequence uint64
	// Share is the share of the requests, in millionths, that go to the target version in RolloutObserve,
	// RolloutLoad, RolloutConfirm and RolloutTrial.
	Share int64
	// Allowance is the number of requests that all hosts together may have sent to the target version, from the order
	// on, before RolloutDrain.
	Allowance int64
	// Focus lists the servers of the target version that get requests in RolloutLoad and RolloutTrial; empty for all. The caller must
	// not change it.
	Focus []string
}

// WithStep returns a copy in the step that follows, taken at a time for a reason.
func (r Rollout) WithStep(at time.Time, step RolloutStep, share int64, focus []string, reason string) Rollout {
	r.Step, r.StepAt, r.Share, r.Focus = step, at, share, focus
	// A step with a reason over the bound would be refused, and the rollout would stand still.
	r.Reason = strings.ToValidUTF8(reason[:min(len(reason), MaxNameBytes)], "")
	r.Sequence++
	return r
}

// WithAllowance returns a copy with the given allowance, if that is not less.
func (r Rollout) WithAllowance(n int64) Rollout {
	r.Allowance = max(r.Allowance, n)
	return r
}

// Span returns the time from the order to the deadline.
func (r Rollout) Span() time.Duration { return r.Deadline.Sub(r.OrderedAt) }

// ToProto returns the wire form.
func (r Rollout) ToProto() *masticproto.Rollout {
	return &masticproto.Rollout{
		Service: r.Service, Target: r.Target, OrderedUnixMs: r.OrderedAt.UnixMilli(), DeadlineUnixMs: r.Deadline.UnixMilli(),
		Step: masticproto.RolloutStep(max(0, slices.Index(rolloutSteps, r.Step))), StepUnixMs: r.StepAt.UnixMilli(), Reason: r.Reason,
		Sequence: r.Sequence, FirstSequence: r.FirstSequence, SharePpm: r.Share, Focus: r.Focus, Allowance: r.Allowance,
	}
}

// RolloutFromProto returns the rollout that p describes. An unknown step counts as RolloutWait.
func RolloutFromProto(p *masticproto.Rollout) Rollout {
	step := RolloutWait
	if n := int(p.GetStep()); n > 0 && n < len(rolloutSteps) {
		step = rolloutSteps[n]
	}
	return Rollout{
		Service: p.GetService(), Target: p.GetTarget(), OrderedAt: time.UnixMilli(p.GetOrderedUnixMs()), Deadline: time.UnixMilli(p.GetDeadlineUnixMs()),
		Step: step, StepAt: time.UnixMilli(p.GetStepUnixMs()), Reason: p.GetReason(),
		Sequence: p.GetSequence(), FirstSequence: p.GetFirstSequence(), Share: p.GetSharePpm(), Focus: p.GetFocus(), Allowance: p.GetAllowance(),
	}
}

// Rollout returns the last rollout of a service, and false if none was ordered.
func (v View) Rollout(service string) (Rollout, bool) { return v.rollouts.get(service) }

// Rollouts returns the last rollout of each service, in the order of the services' names.
func (v View) Rollouts() []Rollout {
	return sorted(v.rollouts, func(r Rollout) string { return r.Service })
}

// WithRollout returns a copy that contains r under its service.
func (v View) WithRollout(r Rollout) View {
	v.rollouts = v.rollouts.with(r.Service, r)
	return v
}

func checkRollouts(v, next View, changed []*masticproto.Rollout) error {
	for _, p := range changed {
		r := RolloutFromProto(p)
		if r.Service == "" || len(r.Service) > MaxNameBytes || r.Target == "" || len(r.Target) > MaxNameBytes || len(r.Reason) > MaxNameBytes {
			return badRequestf("a rollout needs a service and a target version of 1 to %d bytes", MaxNameBytes)
		}
		if len(r.Focus) > MaxRolloutFocus || r.Share < 0 || r.Share > WholeShare {
			return badRequestf("rollout of %q: its share or its servers are out of range", r.Service)
		}
		if old, ok := v.Rollout(r.Service); ok && r.Sequence <= old.Sequence {
			return badRequestf("rollout of %q: step %d does not follow step %d", r.Service, r.Sequence, old.Sequence)
		}
	}
	if len(changed) > 0 && next.rollouts.count > MaxRollouts {
		return badRequestf("over %d services have a rollout", MaxRollouts)
	}
	return nil
}
