// Package mastichold acquires backend servers for requests that may crash the server that runs
// them: over all hosts, no two such suspects run on the same server.
package mastichold

import (
	"context"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// RetryInterval is the time after which a suspect retries when other suspects hold every backend
// server.
const RetryInterval = 50 * time.Millisecond

// Request is a request for which a backend server is acquired.
type Request struct {
	// Holds is nil if no request is ever suspected.
	Holds    masticcall.Holds
	Digest   masticview.Digest
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
	var unavailable []string
	for {
		a, err := r.Acquire(ctx, unavailable)
		switch {
		case err != nil && len(unavailable) > 0 && masticerror.KindOf(err) == masticerror.KindNoServer:
			if err := sleep(ctx); err != nil {
				return nil, false, err
			}
			unavailable = nil
			continue
		case err != nil:
			return nil, false, err
		case r.Holds == nil || !r.Holds.Suspected(r.Digest):
			return a, false, nil
		}
		held, err := r.hold(ctx, a.Server().Name)
		if held {
			return a, true, nil
		}
		a.Done(r.Now(), masticcall.Result{Failure: string(masticerror.KindCancelled)})
		if err != nil {
			return nil, false, err
		}
		unavailable = append(unavailable, a.Server().Name)
	}
}

func (r *Request) hold(ctx context.Context, server string) (bool, error) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	return r.Holds.Hold(ctx, r.Digest, server, r.Deadline)
}

// sleep waits for RetryInterval. It returns the context's error if that ends first.
func sleep(ctx context.Context) error {
	t := time.NewTimer(RetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
