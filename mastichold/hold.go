// Package mastichold acquires backend servers for requests that may crash the server that runs
// them: over all hosts, no two such suspects run on the same server, and requests that share a suspected
// part of their prompts run one at a time.
package mastichold

import (
	"context"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// RetryInterval is the time after which a suspect retries when other suspects hold every backend
// server.
const RetryInterval = 50 * time.Millisecond

// turnTimeout bounds the wait of a request while others with a suspected part of its prompt run, one at a
// time, to tell whether the part is harmless.
const turnTimeout = 500 * time.Millisecond

// verdictTime is how long a hold outlasts the deadline of its request, so that it is known whether its server has ended before
// another request with the same part runs.
const verdictTime = time.Second

// Request is a request for which a backend server is acquired.
type Request struct {
	// Holds is nil if no request is ever suspected.
	Holds    masticcall.Holds
	Content  masticcall.Content
	Deadline time.Time
	// Timeout bounds each request for a hold; zero means that only the context does.
	Timeout time.Duration
	// Acquire assigns a backend server other than those listed, on which other suspects run.
	Acquire func(ctx context.Context, unavailable []string) (masticcall.Assignment, error)
	// Now is the clock for the end of an assignment that is not used.
	Now func() time.Time
}

// Acquire assigns a backend server, with a hold of it if the request is a suspect. It reports
// whether it took a hold, which the caller has to release. After an error the request has not run.
func Acquire(ctx context.Context, r Request) (a masticcall.Assignment, held bool, err error) {
	if r.Holds == nil {
		a, err := r.Acquire(ctx, nil)
		return a, false, err
	}
	// A request that is found to be a suspect only once it has a server gets its turn first.
	for {
		hadTurn := r.Holds.Suspected(r.Content)
		if hadTurn {
			if err := r.turn(ctx); err != nil {
				return nil, false, err
			}
		}
		a, held, err := r.acquire(ctx, hadTurn)
		if hadTurn && !held {
			r.Holds.EndTurn(r.Content)
		}
		if a != nil || err != nil {
			return a, held, err
		}
	}
}

// turn waits for the turn of the request. Others of this host that share suspected parts run before.
func (r *Request) turn(ctx context.Context) error {
	waiting, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	if err := r.Holds.Turn(waiting, r.Content); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return errPartBusy()
	}
	return nil
}

func errPartBusy() error {
	return masticerror.New(masticerror.KindOverloaded, "other requests with a suspected part of the prompt run").WithRetryAfter(turnTimeout)
}

// acquire assigns a backend server, with a hold of it if the request is a suspect. It returns neither a
// server nor an error if the request became a suspect without having the turn.
func (r *Request) acquire(ctx context.Context, hasTurn bool) (a masticcall.Assignment, held bool, err error) {
	var unavailable []string
	busyUntil := time.Now().Add(turnTimeout)
	for {
		a, err := r.Acquire(ctx, unavailable)
		switch {
		case err != nil && len(unavailable) > 0 && masticerror.KindOf(err) == masticerror.KindNoServer:
			if err := sleep(ctx, RetryInterval); err != nil {
				return nil, false, err
			}
			unavailable = nil
			continue
		case err != nil:
			return nil, false, err
		case !r.Holds.Suspected(r.Content):
			return a, false, nil
		case !hasTurn:
			r.cancel(a)
			return nil, false, nil
		}
		outcome, retryAfter, err := r.hold(ctx, a.Server().Name)
		if err == nil && outcome == masticcall.HoldGranted {
			return a, true, nil
		}
		r.cancel(a)
		switch {
		case err != nil:
			return nil, false, err
		case outcome == masticcall.HoldServerBusy:
			unavailable = append(unavailable, a.Server().Name)
			continue
		case time.Now().Add(retryAfter).After(busyUntil):
			return nil, false, errPartBusy()
		}
		if err := sleep(ctx, retryAfter); err != nil {
			return nil, false, err
		}
	}
}

// cancel ends an assignment that is not used.
func (r *Request) cancel(a masticcall.Assignment) {
	a.Done(r.Now(), masticcall.Result{Failure: string(masticerror.KindCancelled)})
}

func (r *Request) hold(ctx context.Context, server string) (masticcall.HoldOutcome, time.Duration, error) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	return r.Holds.Hold(ctx, r.Content, server, r.Deadline.Add(verdictTime))
}

// sleep waits for d. It returns the context's error if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
