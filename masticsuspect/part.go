package masticsuspect

import (
	"cmp"
	"slices"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// provenTTL is the time after the completion of a request within which its parts are not blamed for the
	// end of a server while the failed request has others, and do not become suspects by ends at one time.
	provenTTL = 2 * time.Second
	// roundsToQuarantine is the number of rounds of failures at which a part is quarantined.
	roundsToQuarantine = 3
	// endsBeforeLateTrials is the number of failures after which every trial that fails is a late one, and
	// maxLateTrials the number of these after which a part is not tried for lastTrialDelay.
	endsBeforeLateTrials = 5
	maxLateTrials        = 3
	lastTrialDelay       = 24 * time.Hour
	// maxPartFailures bounds the recorded failures of a part.
	maxPartFailures = 16
)

// trialDelays are the times from the round that quarantines a part, and from those after it, to the next
// trial. Later ones follow after lastTrialDelay.
var trialDelays = []time.Duration{time.Minute, 10 * time.Minute}

// suspicion is how requests with a part may run.
type suspicion int

const (
	// notSuspected means that they may run as others do.
	notSuspected suspicion = iota
	// oneAtATime means that over all hosts one of them runs at a time, as a trial of the part.
	oneAtATime
	// alone means that in addition no other suspect runs on the server.
	alone
)

// partFailure is a failure of a server that ran a request with a part: under a hold, as a trial of the part,
// or before anything was known of it.
type partFailure struct {
	incarnation string
	// sentAt is when the first such request was sent to the server.
	sentAt, failedAt int64
	trial, lost      bool
}

// part is what is known of a part of prompts. A part that ends each server which answers on it never
// completes, so only the failures since the last completion count. All failures but those of trials are one
// round: a harmless part that many requests share was on all servers that ended together. It is immutable.
type part struct {
	// failures are ordered by the time of the failure.
	failures      []partFailure
	completedAt   int64
	nextTrialAt   int64
	expiresUnixMs int64
}

// withFailure returns a copy with a failure. Several requests, and hosts, may state the same one.
func (p part) withFailure(f partFailure) part {
	p.failures = slices.Clone(p.failures)
	i := slices.IndexFunc(p.failures, func(x partFailure) bool { return x.incarnation == f.incarnation })
	if i >= 0 {
		p.failures[i].sentAt = min(p.failures[i].sentAt, f.sentAt)
		p.failures[i].trial = p.failures[i].trial || f.trial
		return p
	}
	p.failures = append(p.failures, f)
	slices.SortStableFunc(p.failures, func(a, b partFailure) int { return cmp.Compare(a.failedAt, b.failedAt) })
	if len(p.failures) > maxPartFailures {
		p.failures = withoutOne(p.failures)
	}
	return p
}

// withoutOne returns the failures without one that changes neither the number of rounds nor that of late
// trials, or without the last if there is none.
func withoutOne(failures []partFailure) []partFailure {
	for i := endsBeforeLateTrials; i < len(failures); i++ {
		if !failures[i].trial {
			return slices.Delete(failures, i, i+1)
		}
	}
	return failures[:len(failures)-1]
}

// withoutFailure returns a copy without the failure of an incarnation.
func (p part) withoutFailure(incarnation string) part {
	p.failures = slices.DeleteFunc(slices.Clone(p.failures), func(f partFailure) bool { return f.incarnation == incarnation })
	return p
}

// triedOn reports whether the failure of an incarnation was that of a trial.
func (p part) triedOn(incarnation string) bool {
	return slices.ContainsFunc(p.failures, func(f partFailure) bool { return f.trial && f.incarnation == incarnation })
}

// withoutTrial returns a copy in which the failure of an incarnation is not that of a trial.
func (p part) withoutTrial(incarnation string) part {
	p.failures = slices.Clone(p.failures)
	for i := range p.failures {
		if p.failures[i].incarnation == incarnation {
			p.failures[i].trial = false
		}
	}
	return p
}

// withEnd returns a copy in which a lost incarnation has ended.
func (p part) withEnd(incarnation string) part {
	p.failures = slices.Clone(p.failures)
	for i := range p.failures {
		if p.failures[i].incarnation == incarnation {
			p.failures[i].lost = false
		}
	}
	return p
}

// withCompletion returns a copy after a request with the part completed.
func (p part) withCompletion(at int64) part {
	p.completedAt = max(p.completedAt, at)
	p.failures = slices.DeleteFunc(slices.Clone(p.failures), func(f partFailure) bool { return f.failedAt <= at })
	if !p.quarantined() {
		p.nextTrialAt = 0
	}
	return p
}

// withSchedule returns a copy with the time of the next trial, given the part before its last failure.
func (p part) withSchedule(now time.Time, before part) part {
	n, _ := p.rounds(false)
	if was, _ := before.rounds(false); n <= was || n < roundsToQuarantine {
		return p
	}
	delay := lastTrialDelay
	if _, late := p.rounds(false); n-roundsToQuarantine < len(trialDelays) && late < maxLateTrials {
		delay = trialDelays[n-roundsToQuarantine]
	}
	p.nextTrialAt = now.Add(delay).UnixMilli()
	return p
}

// trials returns the incarnations on which trials of the part failed.
func (p part) trials() []string {
	var out []string
	for _, f := range p.failures {
		if f.trial {
			out = append(out, f.incarnation)
		}
	}
	return out
}

// rounds returns the number of rounds of failures, and how many of them are late trials. Failures of lost
// servers count on demand.
func (p part) rounds(withLost bool) (n, late int) {
	untried := 0
	for i, f := range p.failures {
		switch {
		case f.lost && !withLost:
		case !f.trial:
			untried = 1
		default:
			n++
			if i >= endsBeforeLateTrials {
				late++
			}
		}
	}
	return untried + n, late
}

// continues reports whether a server failed under a request that was sent after the first failure was known.
func (p part) continues() bool {
	return slices.ContainsFunc(p.failures, func(f partFailure) bool {
		return f.sentAt > p.failures[0].failedAt+runningMargin.Milliseconds()
	})
}

// provenAt reports whether a request with the part had completed a short time before at.
func (p part) provenAt(at int64) bool {
	return p.completedAt > 0 && at-p.completedAt < provenTTL.Milliseconds()
}

func (p part) suspicion() suspicion {
	switch n, _ := p.rounds(true); {
	case n == 0, n == 1 && p.provenAt(p.failures[0].failedAt) && !p.continues():
		return notSuspected
	case n == 1:
		return oneAtATime
	}
	return alone
}

func (p part) quarantined() bool {
	n, _ := p.rounds(false)
	return n >= roundsToQuarantine
}

// undecided reports whether the part would be quarantined if the lost servers had ended.
func (p part) undecided() bool {
	n, _ := p.rounds(true)
	return n >= roundsToQuarantine && !p.quarantined()
}

// refuses reports whether a request with the part is refused at now, if it has the company of the part too.
func (p part) refuses(now time.Time) bool { return p.quarantined() && now.UnixMilli() < p.nextTrialAt }

func (p part) proto(d masticview.Digest) *masticproto.PartRecord {
	out := &masticproto.PartRecord{
		Digest: d[:], CompletedUnixMs: p.completedAt, NextTrialUnixMs: p.nextTrialAt, UntilUnixMs: p.expiresUnixMs,
	}
	for _, f := range p.failures {
		out.Failures = append(out.Failures, &masticproto.PartFailure{
			Incarnation: f.incarnation, SentUnixMs: f.sentAt, FailedUnixMs: f.failedAt, Trial: f.trial, Lost: f.lost,
		})
	}
	return out
}

func partFromProto(r *masticproto.PartRecord) part {
	p := part{completedAt: r.GetCompletedUnixMs(), nextTrialAt: r.GetNextTrialUnixMs(), expiresUnixMs: r.GetUntilUnixMs()}
	for _, x := range r.GetFailures() {
		p.failures = append(p.failures, partFailure{
			incarnation: x.GetIncarnation(), sentAt: x.GetSentUnixMs(), failedAt: x.GetFailedUnixMs(), trial: x.GetTrial(), lost: x.GetLost(),
		})
	}
	return p
}
