package masticrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticrollout"
	"masticladder/masticview"
)

const (
	// targetWaitDivisor bounds the wait of a sampled request for a server of the target version: it waits at most
	// Target/targetWaitDivisor and is then placed like the others.
	targetWaitDivisor = 4
	// maxPlacements bounds how often an attempt is placed again because the step of the rollout changed while it waited.
	maxPlacements = 4
)

// WithTraffic sets what places requests while the traffic of a service moves to another software version. leased reports
// whether this host has a valid view lease.
func WithTraffic(t *masticrollout.Traffic, leased func(now time.Time) bool) Option {
	return func(c *Relay) { c.traffic, c.leased = t, leased }
}

// assign has the dispatcher assign a backend server other than the unavailable ones, of a version that may get the attempt.
func (r *requestState) assign(ctx context.Context, unavailable []string) (masticcall.Assignment, error) {
	if r.relay.traffic == nil {
		return r.assignAny(ctx, unavailable, r.allowedSoftware())
	}
	r.endPlacement(masticrollout.Outcome{Unknown: true})
	var lastError error
	for i := range maxPlacements {
		p, err := r.place(i == 0)
		if err != nil {
			return nil, err
		}
		a, err := r.assignPlaced(ctx, unavailable, p)
		switch {
		case err != nil:
			p.Abandon()
			if lastError = err; !p.Sampled || ctx.Err() != nil {
				return nil, err
			}
		case p.Assigned(time.Now(), a.Server()):
			r.placement, r.placed = p, true
			return a, nil
		default:
			lastError = masticerror.New(masticerror.KindNoServer, "the rollout of %q changed while the request waited", r.pool.Name)
			a.Done(time.Now(), masticcall.Result{Failure: string(masticerror.KindCancelled)})
		}
	}
	return nil, lastError
}

// place asks where the attempt may go. Only a first attempt may be sampled for the target version.
func (r *requestState) place(first bool) (*masticrollout.Placement, error) {
	now, software := time.Now(), r.allowedSoftware()
	p, err := r.relay.traffic.Begin(now, masticrollout.Ask{
		Service: r.pool.Name, Bound: r.origin.bound, Repeated: r.placed, Random: rand.Float64(),
		First:  first && r.attempts == 0 && software == r.origin.bound,
		Leased: r.relay.leased(now),
	})
	if err == nil && software.Required && p.Software.Allows(software.Version) {
		p.Software = software
	}
	return p, err
}

func (r *requestState) assignPlaced(ctx context.Context, unavailable []string, p *masticrollout.Placement) (masticcall.Assignment, error) {
	if p.Sampled {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.route.TargetLatency/targetWaitDivisor)
		defer cancel()
	}
	return r.assignAny(ctx, append(p.Avoid[:len(p.Avoid):len(p.Avoid)], unavailable...), p.Software)
}

// endPlacement notes the outcome of the last attempt that was placed.
func (r *requestState) endPlacement(o masticrollout.Outcome) {
	if r.placement == nil {
		return
	}
	r.placement.End(o)
	r.placement = nil
}

// countAnswer notes the outcome of an attempt: f is its failure, nil for an answer that was passed on.
func (r *requestState) countAnswer(server masticview.Server, cached int64, f *masticbackend.Failure, took time.Duration) {
	if r.placement == nil {
		return
	}
	o := masticrollout.Outcome{Route: r.route.Name, Stratum: r.stratum(server, cached), Latency: took}
	switch {
	case f == nil:
		o.Bad = r.status >= http.StatusBadRequest && r.status != http.StatusTooManyRequests
	case f.Paused || f.Err.Kind() == masticerror.KindCancelled || f.Err.Kind() == masticerror.KindDraining:
		o.Unknown = true
	default:
		o.Bad = true
	}
	r.relay.metrics.recordVersion(r.relay.traffic.Role(r.pool.Name, server.Software), o)
	r.endPlacement(o)
}

// stratum names like requests: of servers in one zone, and on engines with a prompt that is cached for the most part, or
// not. New engines have cold caches.
func (r *requestState) stratum(server masticview.Server, cached int64) string {
	if r.pool.Engine && cached < r.call.InputTokens/2 {
		return server.Zone + "/uncached"
	}
	return server.Zone
}

// recordVersion counts an attempt while its service has a rollout: role is "target" or "other".
func (m *requestMetrics) recordVersion(role string, o masticrollout.Outcome) {
	if role == "" || o.Unknown {
		return
	}
	outcome := "good"
	if o.Bad {
		outcome = "bad"
	}
	metrics.GetOrRegisterCounter("rollout."+role+"."+outcome, m.registry).Inc(1)
}

// assignAny has the dispatcher assign a backend server other than the unavailable ones, of an allowed version.
func (r *requestState) assignAny(ctx context.Context, unavailable []string, software masticcall.Software) (masticcall.Assignment, error) {
	avoid := append(r.avoid[:len(r.avoid):len(r.avoid)], unavailable...)
	if !r.pool.Engine {
		return r.relay.dispatcher.AcquireService(ctx, withSoftware(r.relay.table.Load(), r.service, software), avoid)
	}
	firstTokenDeadline := r.call.Received.Add(r.route.TargetLatency)
	return r.relay.dispatcher.Acquire(ctx, masticcall.Request{
		ID:                 r.call.ID,
		Workspace:          r.cacheScope,
		Owner:              r.workspace.Name,
		Priority:           max(0, r.route.Priority),
		Weight:             1,
		Model:              masticview.PoolModel(r.pool.Name, r.call.Model),
		Class:              class(r.call),
		Weights:            r.call.Model,
		Levels:             r.call.Levels,
		PromptTokens:       r.call.InputTokens,
		OutputTokens:       r.call.OutputTokens,
		Digest:             r.content.Digest,
		FirstTokenDeadline: firstTokenDeadline,
		Deadline:           r.deadline,
		ServerWaitDeadline: r.call.Received.Add(r.route.TargetLatency / usableTimeoutDivisor),
		Avoid:              avoid,
		Software:           software,
		Attempt:            0,
	})
}
