package masticrelay

import (
	"time"

	"masticladder/masticdocument"
	"masticladder/masticerror"
	"masticladder/mastichold"
)

// authenticate returns the workspace of the key, the zero workspace if the request needs no key. It
// reports false if t does not know the key.
func (r *requestState) authenticate(t *routingTable) (masticdocument.Workspace, bool) {
	if r.route.Public || !t.index.RequiresKey() {
		return masticdocument.Workspace{}, true
	}
	w, ok := t.index.WorkspaceByKey(r.call.Key)
	return w, ok && r.call.HasKey
}

func errUnknownKey() *masticerror.Error {
	return masticerror.New(masticerror.KindUnauthenticated, "the key is not known")
}

// recheck returns why the newest view no longer allows the request to be sent to a backend server:
// the lease has ended, the key was withdrawn, or several servers have ended under the request.
func (r *requestState) recheck() *masticerror.Error {
	if err := r.waitingError(time.Now()); err != nil {
		return err
	}
	t := r.relay.table.Load()
	if err := r.relay.leaseError(); err != nil {
		return err
	}
	w, ok := r.authenticate(t)
	if !ok || w.Name != r.workspace.Name {
		return r.relay.outdatedOr(errUnknownKey())
	}
	r.cacheScope = cacheScope(t.view, w)
	if !r.mayHaveRun {
		// The drain may have begun while the request waited.
		if err := r.relay.endError(r.route, r.deadline); err != nil {
			return err
		}
	}
	return r.quarantineError(t)
}

// quarantineError returns the refusal of a request under which several servers have ended, or under others
// that share a part of its prompt, nil for other requests.
func (r *requestState) quarantineError(t *routingTable) *masticerror.Error {
	return mastichold.QuarantineError(t.view, time.Now(), r.content)
}
