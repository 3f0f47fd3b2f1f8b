package masticrelay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

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

// isPublic reports whether the request needs no key under t, though it needed one when it came.
func (r *requestState) isPublic(t *routingTable) bool {
	route, ok := t.index.Route(r.call.Host, r.call.Path)
	return ok && route.Public
}

// moveTo makes w the workspace of a request that waited while a document moved its key. The request takes its quota from w;
// the former workspace gets back what it has not used.
func (r *requestState) moveTo(ctx context.Context, t *routingTable, w masticdocument.Workspace) *masticerror.Error {
	admission, err := r.acquireQuota(ctx, w)
	fields := logrus.Fields{
		"request": r.call.ID, "from": cut(r.workspace.Name), "to": cut(w.Name), "number": t.documentNumber(), "revision": t.view.Revision(), "mayHaveRun": r.mayHaveRun,
	}
	if err != nil {
		r.relay.log.WithFields(fields).WithError(err).Info("key of a waiting request moved")
		return err
	}
	r.relay.log.WithFields(fields).Info("key of a waiting request moved")
	used := int64(0)
	if r.mayHaveRun {
		used = r.call.tokens(r.workspace)
	}
	r.settleQuota(used)
	r.workspace, r.admission = w, admission
	r.addStreamKeys()
	return nil
}

func errUnknownKey() *masticerror.Error {
	return masticerror.New(masticerror.KindUnauthenticated, "the key is not known")
}

// recheck returns why the newest view no longer allows the request to be sent to a backend server:
// the lease has ended, the key was withdrawn, or several servers have ended under the request. A request whose key belongs to
// another workspace now goes on as one of that workspace.
func (r *requestState) recheck(ctx context.Context) *masticerror.Error {
	if err := r.waitingError(time.Now()); err != nil {
		return err
	}
	t := r.relay.table.Load()
	if err := r.relay.leaseError(); err != nil {
		return err
	}
	w, ok := r.authenticate(t)
	if !ok && !r.isPublic(t) {
		return r.relay.outdatedOr(errUnknownKey())
	}
	if w.Name != r.workspace.Name {
		if err := r.moveTo(ctx, t, w); err != nil {
			return err
		}
		// The caller may have left, and the key may have moved on, while the request waited for its quota.
		return r.recheck(ctx)
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
