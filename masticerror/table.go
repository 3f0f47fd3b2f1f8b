package masticerror

import (
	"net/http"
	"time"
)

// Outcome states what is known about whether a failed request ran.
type Outcome int

// The outcomes that a kind can have.
const (
	// OutcomeNotRun means that no byte has reached a backend server and none can later.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// OutcomeByError means that the outcome depends on the error: it counts as not run unless
	// the error is marked with WithSent.
	OutcomeByError
)

// Answer is the answer that a caller receives for a kind.
type Answer struct {
	Kind    Kind
	Status  int
	Outcome Outcome
	// RetryAfter is the default delay before a retry; zero means that a retry does not help.
	RetryAfter time.Duration
	Meaning    string
}

var table = []Answer{
	{KindBadRequest, http.StatusBadRequest, OutcomeNotRun, 0, "The request could not be read."},
	{KindBodyTooLarge, http.StatusRequestEntityTooLarge, OutcomeNotRun, 0, "The body is over the limit."},
	{KindUnauthenticated, http.StatusUnauthorized, OutcomeNotRun, 0, "The key is missing, unknown or withdrawn."},
	{KindForbidden, http.StatusForbidden, OutcomeNotRun, 0, "The key's workspace may not use this profile, model or service."},
	{KindNotFound, http.StatusNotFound, OutcomeNotRun, 0, "There is no such path, service or item."},
	{KindUnknownModel, http.StatusNotFound, OutcomeNotRun, 0, "No such model is configured."},
	{KindConflict, http.StatusConflict, OutcomeNotRun, 0, "The change was built on another revision than the current one."},
	{KindKeyReused, http.StatusUnprocessableEntity, OutcomeNotRun, 0, "The idempotency key was used for another request."},
	{KindKeyTooOld, http.StatusUnprocessableEntity, OutcomeUnknown, 0, "The idempotency key is older than the retention of its record."},
	{KindRateLimited, http.StatusTooManyRequests, OutcomeNotRun, time.Second, "The workspace is over its rate."},
	{KindOverloaded, http.StatusServiceUnavailable, OutcomeNotRun, time.Second, "No backend server can meet the request's deadline now."},
	{KindDeadline, http.StatusGatewayTimeout, OutcomeByError, time.Second, "The request's deadline passed."},
	{KindNoServer, http.StatusServiceUnavailable, OutcomeNotRun, time.Second, "No backend server for this model or service is available."},
	{KindNoLease, http.StatusServiceUnavailable, OutcomeNotRun, time.Second, "This host's view lease has ended; use another address."},
	{KindNoQuorum, http.StatusServiceUnavailable, OutcomeByError, time.Second, "Control has no quorum."},
	{KindNotLeader, http.StatusServiceUnavailable, OutcomeNotRun, time.Second, "This host does not lead control."},
	{KindDraining, http.StatusServiceUnavailable, OutcomeNotRun, time.Second, "This host is shutting down; use another address."},
	{KindQuarantined, http.StatusUnprocessableEntity, OutcomeNotRun, time.Minute, "Requests with this content, or with a part of its prompt, ended more than one backend server."},
	{KindStorageFull, http.StatusServiceUnavailable, OutcomeNotRun, time.Second, "The disks of the control group have no room for the change now."},
	{KindRetryBudget, http.StatusServiceUnavailable, OutcomeByError, time.Second, "The workspace's retry budget is spent."},
	{KindBackendRefused, http.StatusBadGateway, OutcomeByError, time.Second, "The backend server refused the request."},
	{KindBackendBusy, http.StatusBadGateway, OutcomeByError, time.Second, "The backend server stated that it does not run the request now."},
	{KindBackendFailed, http.StatusBadGateway, OutcomeUnknown, time.Second, "The backend server failed after it may have received the request."},
	{KindStreamBroken, http.StatusBadGateway, OutcomeUnknown, time.Second, "The stream could not be completed."},
	{KindOutcomeUnknown, http.StatusBadGateway, OutcomeUnknown, 0, "The call may have run; it is not run again."},
	{KindCommittedNotInForce, http.StatusAccepted, OutcomeUnknown, time.Second, "The change is committed but not yet in force on every host."},
	{KindCancelled, 499, OutcomeByError, 0, "The caller went away."},
	{KindInternal, http.StatusInternalServerError, OutcomeByError, time.Second, "An unexpected error."},
}

var byKind = index(table)

func index(answers []Answer) map[Kind]Answer {
	m := make(map[Kind]Answer, len(answers))
	for _, a := range answers {
		m[a.Kind] = a
	}
	return m
}

// Table returns a copy of the answers for all kinds, in the order of the list of kinds.
func Table() []Answer {
	return append([]Answer(nil), table...)
}

// AnswerFor returns the answer for k, or that of KindInternal if k is not in the list.
func AnswerFor(k Kind) Answer {
	a, ok := byKind[k]
	if !ok {
		return byKind[KindInternal]
	}
	return a
}
