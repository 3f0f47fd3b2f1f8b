// Package masticgate takes requests from callers over net/http: it checks their key,
// admits them within their workspace's quota, sends them to backend servers and
// answers whole, in order and to the right caller.
//
// A running stream whose key is withdrawn is cut with an error event as soon as this
// host knows of the withdrawal, because a withdrawn key has to stop working within
// seconds and a stream may run for minutes. A stream is not cut when only the view
// lease ends: its key was valid when it was dispatched, its own deadline bounds it,
// and nothing new is dispatched, retried or resumed for it without a lease. A call
// to a plain service is never cut, because its outcome would become unknown.
package masticgate
