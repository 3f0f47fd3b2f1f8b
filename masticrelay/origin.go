package masticrelay

import (
	"context"
	"slices"
	"strings"
	"time"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticdetector"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const (
	// recordTimeout bounds the wait for the record of a stream whose first event has arrived. An election of a
	// leader takes less.
	recordTimeout = time.Second
	// serverCheckTimeout bounds the check of which incarnation of a server has answered.
	serverCheckTimeout = 300 * time.Millisecond
	// findTimeout bounds the question which version began a stream that a caller takes up.
	findTimeout = 700 * time.Millisecond
	// noVersionRetryAfter is when a caller is to come back whose version has no server: one that has ended
	// returns within some seconds.
	noVersionRetryAfter = time.Second
	// unknownRetryAfter is when a caller is to come back whose question had no answer.
	unknownRetryAfter = 300 * time.Millisecond
)

// serviceSoftware is the software versions of a service under one view.
type serviceSoftware struct {
	// base is the version whose streams need no record.
	base string
	// servers is the number of servers of each version, also of those that are leaving.
	servers map[string]int
	// recordedUntil is the time until which streams of the base version are recorded too: as long as the control group cannot tell
	// that a stream without a record was begun by it.
	recordedUntil time.Time
}

// serviceSoftwareOf returns the software versions of all services of a view, from those of the view before. Streams that begin now may be
// taken up until takeUpEnd.
func serviceSoftwareOf(v masticview.View, before map[string]serviceSoftware, takeUpEnd time.Time) map[string]serviceSoftware {
	out := map[string]serviceSoftware{}
	for service, servers := range v.SoftwareVersions() {
		base, _ := v.BaseSoftware(service)
		next := serviceSoftware{base: base, servers: servers}
		if old, known := before[service]; known {
			next.recordedUntil = old.recordedUntil
			if old.base != base || old.servers[base] == 0 && servers[base] > 0 {
				next.recordedUntil = takeUpEnd
			}
		}
		out[service] = next
	}
	return out
}

// single returns the only version of the service, and false if there are several.
func (s serviceSoftware) single() (string, bool) {
	for version := range s.servers {
		return version, len(s.servers) == 1
	}
	return "", false
}

// streamOrigin is what a request knows of the software version that began its stream. A stream goes on only at
// servers of that version.
type streamOrigin struct {
	// bound allows the servers that can continue the stream; it allows all until the first event.
	bound masticcall.Software
	// keys name the stream to all hosts, of a take-up that of the request which began it.
	keys masticcall.StreamKeys
	// recording is the record of the running attempt, nil if it needs none or the stream is bound.
	recording masticcall.Recording
	// recorded reports that some attempt had a record, so that the next one needs one too.
	recorded bool
	// wait is how long the first event waited for the record.
	wait time.Duration
}

// keepsOrigin reports whether callers may take up the request's stream.
func (r *requestState) keepsOrigin() bool { return r.route.Resumable && r.relay.origins != nil }

// takesUp reports whether the request takes up a stream that broke.
func (r *requestState) takesUp() bool { return r.call.LastEventID != "" || r.call.Resumes != "" }

// streamKeys returns the keys under which the stream that the request with the given ID began is recorded: by the API key,
// which the caller keeps if a document moves it or renames its workspace, and by the workspace, whose API keys
// documents replace. A caller without an API key may need one when the route is no longer public.
func (r *requestState) streamKeys(request string) masticcall.StreamKeys {
	workspace := masticcall.StreamKeyOf(r.workspace.Name, r.pool.Name, request)
	if r.call.HasKey {
		return masticcall.StreamKeys{masticcall.StreamKeyOfAPIKey(r.call.Key, r.pool.Name, request), workspace}
	}
	return masticcall.StreamKeys{workspace, r.pathStreamKey(request)}
}

// addStreamKeys adds the keys of the request's present workspace to those of its stream.
func (r *requestState) addStreamKeys() {
	if !r.keepsOrigin() {
		return
	}
	request := r.call.ID
	if r.takesUp() {
		request = r.call.Resumes
	}
	for _, k := range r.streamKeys(request) {
		if !slices.Contains(r.origin.keys, k) {
			r.origin.keys = append(slices.Clone(r.origin.keys), k)
		}
	}
	if r.origin.recorded && r.origin.bound.Required {
		r.relay.origins.Record(r.origin.keys, r.origin.bound.Version, r.deadline)
	}
}

// formerStreamKeys returns the keys under which the stream that the request takes up may have been recorded.
func (r *requestState) formerStreamKeys() masticcall.StreamKeys {
	if !r.call.HasKey {
		return r.origin.keys
	}
	return append(slices.Clone(r.origin.keys), r.pathStreamKey(r.call.Resumes))
}

func (r *requestState) pathStreamKey(request string) masticcall.StreamKey {
	return masticcall.StreamKeyOfPath(strings.ToLower(r.call.Host), r.call.Path, r.pool.Name, request)
}

// findOrigin binds a request that takes up a stream to the version that began it, or returns why that cannot be
// told.
func (r *requestState) findOrigin(ctx context.Context, t *routingTable) *masticerror.Error {
	if !r.keepsOrigin() {
		return nil
	}
	if !r.takesUp() {
		r.origin.keys = r.streamKeys(r.call.ID)
		return nil
	}
	// A caller that does not name its stream may have begun any that still can be taken up.
	var asked masticcall.StreamKeys
	if r.call.Resumes != "" {
		r.origin.keys = r.streamKeys(r.call.Resumes)
		asked = r.formerStreamKeys()
	} else if len(t.software[r.pool.Name].servers) > 1 {
		return r.refuseTakeUp(masticerror.New(masticerror.KindBadRequest, "the request does not name the one that began its stream, and several software versions serve"))
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	began := time.Now()
	found, err := r.relay.origins.Find(ctx, asked, r.pool.Name)
	r.logOrigin(found, began, err)
	if err != nil {
		return r.refuseTakeUp(masticerror.From(err).WithRetryAfter(unknownRetryAfter + r.relay.retryAfter()))
	}
	if found.Unknown {
		return r.refuseTakeUp(masticerror.New(masticerror.KindNoServer, "it is not known which software version of %s began the stream", r.pool.Name).
			WithRetryAfter(noVersionRetryAfter + r.relay.retryAfter()))
	}
	r.origin.bound, r.origin.recorded = masticcall.OnlySoftware(found.Software), found.Recorded
	if r.relay.table.Load().software[r.pool.Name].servers[found.Software] == 0 {
		return r.refuseTakeUp(masticerror.New(masticerror.KindNoServer, "no backend server has software %q, which began the stream", found.Software).
			WithRetryAfter(noVersionRetryAfter + r.relay.retryAfter()))
	}
	if found.Recorded {
		r.relay.origins.Record(r.origin.keys, found.Software, r.deadline)
	}
	return nil
}

// refuseTakeUp counts the refusal of a take-up.
func (r *requestState) refuseTakeUp(e *masticerror.Error) *masticerror.Error {
	r.relay.metrics.takeUpsRefused.Inc(1)
	return e
}

// allowedSoftware returns which servers may get the next attempt. A request without an event may go anywhere
// while its version can be recorded, else to the base version. If that has no server and only one other
// version is left, the request goes there: no stream can be joined from it and the base version.
func (r *requestState) allowedSoftware() masticcall.Software {
	if !r.keepsOrigin() || r.origin.bound.Required || r.relay.origins.Available() {
		return r.origin.bound
	}
	software := r.relay.table.Load().software[r.pool.Name]
	if version, only := software.single(); only {
		return masticcall.OnlySoftware(version)
	}
	return masticcall.OnlySoftware(software.base)
}

// recordOrigin begins to record that the stream is begun by server, if that is needed: while the control group
// writes it, the server works on the first event.
func (r *requestState) recordOrigin(server masticview.Server) {
	r.origin.recording = nil
	if !r.keepsOrigin() || r.origin.bound.Required {
		return
	}
	software := r.relay.table.Load().software[server.Service]
	isBase := software.base == server.Software && !r.origin.recorded
	if isBase && (!time.Now().Before(software.recordedUntil) || !r.relay.origins.Available()) {
		return
	}
	r.origin.recorded = true
	recording := r.relay.origins.Record(r.origin.keys, server.Software, r.deadline)
	if !isBase {
		// A stream of the base version need not wait: without a record it is refused to callers that take it up.
		r.origin.recording = recording
	}
}

// confirmOrigin checks, before the first event of an attempt is passed on, that the server has the version that
// the view states, and waits until the version of a stream that begins is recorded.
func (r *requestState) confirmOrigin(ctx context.Context, server masticview.Server, answer *masticbackend.Answer) *masticbackend.Failure {
	if f := r.confirmServer(ctx, server, answer); f != nil {
		return f
	}
	return r.confirmRecord(ctx)
}

// needsConfirmedServer reports whether the answer is passed on only if the listed incarnation of the server gave
// it: another one, which may have another version, may have returned under its name before a list shows it, as
// the first of its version too.
func (r *requestState) needsConfirmedServer() bool {
	return r.keepsOrigin() && r.pool.Engine && len(r.relay.table.Load().software[r.pool.Name].servers) > 0
}

// confirmation is the check of a server before a request is sent to it.
type confirmation struct {
	request *requestState
	server  masticview.Server
}

// check checks the server on a new connection, which it leaves for the request. The error is a failure before
// anything was sent. A check that got no answer in time does not show that the server has ended.
func (c *confirmation) check(ctx context.Context) error {
	sign := c.request.checkServer(ctx, c.server)
	if sign == masticdetector.SignAnswered {
		return nil
	}
	return &masticbackend.Failure{
		Err:         masticerror.New(masticerror.KindBackendRefused, "%s does not show that it is the listed incarnation", c.server.Name),
		ServerEnded: sign != masticdetector.SignNone, Answered: sign == masticdetector.SignReplaced, Refused: sign == masticdetector.SignRefused,
	}
}

// confirmServer checks that the listed incarnation of the server gave the answer, unless its connection is confirmed.
// The connection belongs to the process that answers the check, since it would have broken otherwise.
func (r *requestState) confirmServer(ctx context.Context, server masticview.Server, answer *masticbackend.Answer) *masticbackend.Failure {
	if answer.Confirmed() || !r.needsConfirmedServer() {
		return nil
	}
	sign := r.checkServer(ctx, server)
	if sign == masticdetector.SignAnswered {
		answer.Confirm()
		return nil
	}
	return &masticbackend.Failure{
		Err:  masticerror.New(masticerror.KindBackendFailed, "%s does not show that it is the listed incarnation", server.Name),
		Sent: true, ServerEnded: sign == masticdetector.SignReplaced, Answered: true,
	}
}

func (r *requestState) checkServer(ctx context.Context, server masticview.Server) masticdetector.Sign {
	ctx, cancel := context.WithTimeout(ctx, serverCheckTimeout)
	defer cancel()
	return (&livenessChecker{relay: r.relay}).Check(ctx, server, "")
}

// confirmRecord waits until the version of the stream that begins is recorded.
func (r *requestState) confirmRecord(ctx context.Context) *masticbackend.Failure {
	recording := r.origin.recording
	if recording == nil {
		return nil
	}
	r.origin.recording = nil
	if version, only := r.relay.table.Load().software[r.pool.Name].single(); only && version == r.software && !r.relay.origins.Available() {
		// The record follows once control is back.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	began := time.Now()
	err := recording.Wait(ctx)
	r.origin.wait = time.Since(began)
	r.relay.metrics.recordWait.Update(r.origin.wait.Milliseconds())
	if err == nil {
		r.relay.metrics.streamsRecorded.Inc(1)
		return nil
	}
	r.relay.metrics.recordsFailed.Inc(1)
	return &masticbackend.Failure{
		Err: masticerror.Wrap(err, masticerror.KindNoQuorum, "the version of the stream was not recorded"), Sent: true, Answered: true,
	}
}

// bindOrigin binds the stream to the version that brings its first event.
func (r *requestState) bindOrigin() {
	if r.keepsOrigin() && !r.origin.bound.Required {
		r.origin.bound = masticcall.OnlySoftware(r.software)
	}
}

// endOrigin ends the record of the stream. It is forgotten only if the caller got nothing of the stream: what was sent may still be on
// its way, and a caller whose connection breaks meanwhile takes the stream up.
func (r *requestState) endOrigin() {
	if !r.origin.recorded {
		return
	}
	r.relay.origins.End(r.origin.keys, !r.takesUp() && !r.headerWritten)
}

// withSoftware returns service with the servers that s allows.
func withSoftware(t *routingTable, service masticview.Service, s masticcall.Software) masticview.Service {
	if !s.Required && !s.Excluded {
		return service
	}
	var names []string
	for _, name := range service.Servers {
		if x, ok := t.view.Server(name); ok && s.Allows(x.Software) {
			names = append(names, name)
		}
	}
	service.Servers = names
	return service
}
