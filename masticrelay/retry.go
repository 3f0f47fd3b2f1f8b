package masticrelay

import (
	"context"
	"errors"
	"time"

	"masticladder/masticbackend"
	"masticladder/masticerror"
)

// mayRetry reports whether the request may be sent once more after f, and if so takes a retry
// from the budget.
func (r *requestState) mayRetry(ctx context.Context, f *masticbackend.Failure) bool {
	denial := r.retryDenial(ctx, f)
	if denial == "" && !r.relay.takeRetry(r.pool.Name) {
		r.relay.metrics.overBudget.Inc(1)
		denial = denialBudget
	}
	r.logRetry(denial)
	if denial != "" {
		return false
	}
	r.relay.metrics.retries.Inc(1)
	if r.headerWritten {
		r.relay.metrics.resumed.Inc(1)
	}
	return true
}

// retryDenial is why a request is not sent once more; empty if it may be.
type retryDenial string

// Reasons not to send a request once more.
const (
	denialCancelled retryDenial = "cancelled"
	denialDeadline  retryDenial = "deadline"
	// denialDraining means that the host ends.
	denialDraining retryDenial = "draining"
	denialAttempts retryDenial = "attempts"
	// denialProgress means that the response has begun and cannot be resumed.
	denialProgress retryDenial = "progress"
	// denialRoute means that the route does not allow another possible run.
	denialRoute  retryDenial = "route"
	denialBudget retryDenial = "budget"
)

// retryDenial returns why the request, its route or its progress rule out another attempt after f.
func (r *requestState) retryDenial(ctx context.Context, f *masticbackend.Failure) retryDenial {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || f.Err.Kind() == masticerror.KindCancelled:
		return denialCancelled
	case f.Err.Kind() == masticerror.KindDraining:
		return denialDraining
	case ctx.Err() != nil || time.Until(r.deadline) < minRemainingTime:
		return denialDeadline
	case r.attempts >= max(1, r.route.Attempts)+maxExtraAttempts:
		return denialAttempts
	case !f.Sent:
		return ""
	case r.headerWritten && !(r.route.Resumable && r.events.count > 0):
		return denialProgress
	case !r.route.Idempotent() || r.possibleRuns >= r.route.Attempts:
		return denialRoute
	}
	return ""
}

// finalError returns the error for the caller after the last attempt.
func (r *requestState) finalError(ctx context.Context, f *masticbackend.Failure) *masticerror.Error {
	switch {
	case r.headerWritten:
		return f.Err
	case errors.Is(ctx.Err(), context.Canceled):
		return masticerror.New(masticerror.KindCancelled, "the caller went away")
	case f.Err.Kind() == masticerror.KindCancelled:
		return f.Err
	case !r.mayHaveRun:
		return notRunError(r.relay, f.Err)
	case f.Err.Kind() == masticerror.KindDeadline || ctx.Err() != nil:
		return masticerror.New(masticerror.KindDeadline, "the deadline passed").WithSent()
	case f.Err.Kind() == masticerror.KindQuarantined:
		// The quarantine refused a further attempt, an earlier one may have run.
		return masticerror.New(masticerror.KindBackendFailed, "the backend server failed: %s", f.Err.Message()).WithSent()
	default:
		return f.Err.WithSent()
	}
}

// notRunError returns e as a refusal that states that the request has not run. It is called only
// when no backend server can have run it.
func notRunError(c *Relay, e *masticerror.Error) *masticerror.Error {
	switch e.Kind() {
	case masticerror.KindOverloaded, masticerror.KindNoServer, masticerror.KindQuarantined, masticerror.KindRateLimited,
		masticerror.KindUnauthenticated, masticerror.KindNoLease:
		return e
	case masticerror.KindDraining:
		return unavailable(c, masticerror.KindDraining, "%s", e.Message())
	default:
		return unavailable(c, masticerror.KindOverloaded, "no backend server took the request: %s", e.Message())
	}
}
