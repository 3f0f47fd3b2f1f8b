// Package masticgate serves requests from callers over net/http. It authenticates the key,
// admits the request within the quota of its workspace, sends it to backend servers, and returns
// the complete response, with its events in order, to the caller that sent the request.
//
// A running stream whose key is withdrawn is ended with an error event as soon as this host
// learns of the withdrawal, because a withdrawn key has to stop working within seconds and a
// stream may run for minutes. A stream is not ended when only the view lease expires: its key
// was valid at dispatch, its own deadline bounds it, and without a lease nothing is dispatched,
// retried or resumed for it. A dispatched call to a plain service that may
// not be repeated is not aborted when its caller disconnects or its key is withdrawn, because its
// outcome would become unknown; only its own deadline ends it. A repeatable call ends with the
// caller's context and deadline.
//
// This package and masticengine serve OpenAI-compatible requests and plain services. masticrelay
// and masticbackend do the same job for requests of any protocol, in the other deployment.
package masticgate
