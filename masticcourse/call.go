// Package masticcourse is the course of one request, whatever the protocols on its two
// sides: route, key, quota, backend server, attempt, resumption, answer. The caller's answer
// is the backend server's, byte for byte. Codecs read callers' requests and write what
// backend servers need to know.
package masticcourse

import (
	"net/http"
	"time"

	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// Call is one request as a codec read it.
type Call struct {
	ID     string
	Method string
	// URI is the path and query as they were sent; Host and Path select the route.
	URI, Host, Path string
	// Header has the fields to pass on; those of one connection, the key, and those that this
	// system sets towards backend servers are left out.
	Header http.Header
	Body   []byte
	// Key is the digest of the caller's key; HasKey reports that there was one.
	Key    masticview.Digest
	HasKey bool
	// Received is when the request was read, Deadline when its caller stops waiting.
	Received, Deadline time.Time
	// InputTokens and OutputTokens are stated where HasTokens is set.
	InputTokens, OutputTokens int64
	HasTokens                 bool
	Model                     string
	// Levels are the parts of the prompt, outermost first.
	Levels []masticcall.Level
	// LastEvent is the identifier of the last event that the caller has of a broken stream.
	LastEvent string
}

// tokens returns what the request counts against its workspace's quota.
func (c *Call) tokens(t masticdocument.Tenant) int64 {
	switch {
	case t.CountsRequests:
		return 1
	case c.HasTokens:
		return max(1, c.InputTokens+c.OutputTokens)
	default:
		return max(1, t.PlainTokens)
	}
}

// Attempt is what a backend server is told besides the request.
type Attempt struct {
	Server masticview.Server
	// Workspace is that of the key, empty on routes that are open.
	Workspace string
	// Priority is the engine's, 0 first; negative for servers without priorities.
	Priority int64
	// Salt separates cached prompts; requests share them only under the same salt.
	Salt     string
	Deadline time.Time
	// Fetch is the IP:port from which the server should fetch cached parts of the prompt, and
	// Save that of the store which should get them; either may be empty.
	Fetch, Save string
	// Weights is the version that the server must have; empty where any will do.
	Weights string
	// LastEvent is the identifier of the last event that was passed on.
	LastEvent string
}

// Backends is the protocol of backend servers.
type Backends interface {
	// Header returns the fields to send.
	Header(c *Call, a Attempt, now time.Time) http.Header
	// NotRun reports that the answer states that the request has not run.
	NotRun(status int, h http.Header) bool
	// Replaced reports that the answer states that the server is not the one that was expected,
	// or has other weights: nobody with the same view can use it.
	Replaced(status int) bool
	// Proper reports that an answer is one that this protocol may give.
	Proper(status int, h http.Header) bool
}

// Callers is the protocol of callers.
type Callers interface {
	// Refuse answers with an error of this system.
	Refuse(w http.ResponseWriter, e *masticerror.Error)
}
