// Package masticrelay relays requests from callers to backend servers, independently of the
// protocols on either side. For each request it selects the route, authenticates the key,
// takes the quota, acquires a backend server, makes the attempts (resuming broken streams
// where possible) and relays the response. The caller gets the backend server's body byte for
// byte, and its header without the hop-by-hop fields. Codecs parse callers' requests and write the
// header for backend servers.
//
// This package and masticbackend serve requests of any protocol, by the routes of a document.
// masticgate and masticengine do the same job in the deployment with the OpenAI-compatible API.
package masticrelay

import (
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"masticladder/masticbody"
	"masticladder/masticcall"
	"masticladder/masticcaller"
	"masticladder/masticdocument"
	"masticladder/masticdrain"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// Call is one request as parsed by a codec.
type Call struct {
	ID     string
	Method string
	// URI is the path and query as received; Host and Path select the route.
	URI, Host, Path string
	// Header has the fields to forward. Hop-by-hop fields, the key, and the fields that this
	// system itself sets for backend servers are left out.
	Header http.Header
	Body   masticbody.Body
	// Key is the digest of the caller's key; HasKey reports whether the request had one.
	Key    masticview.Digest
	HasKey bool
	// Received is when the request was read, Deadline when the caller stops waiting.
	Received, Deadline time.Time
	// InputTokens and OutputTokens are valid only if HasTokens is set.
	InputTokens, OutputTokens int64
	HasTokens                 bool
	Model                     string
	// Levels are the parts of the prompt, outermost first.
	Levels []masticcall.Level
	// LastEventID is the identifier of the last event that the caller received of a broken stream.
	LastEventID string
	// Resumes is the ID of the caller's request that brought the first event of that stream.
	Resumes string
	// Connection is that of the caller, nil if its state is unknown.
	Connection *masticcaller.Connection
	// Running is set by Begin.
	Running *masticdrain.Request
}

// tokens returns the number of tokens that the request takes from its workspace's quota.
func (c *Call) tokens(w masticdocument.Workspace) int64 {
	switch {
	case w.CountsRequests:
		return 1
	case c.HasTokens:
		return max(1, c.InputTokens+c.OutputTokens)
	default:
		return max(1, w.DefaultTokens)
	}
}

// digestOf returns the digest of what a caller's retry has in common with the request: the
// workspace, method, path and body, but not the ID.
func digestOf(c *Call, workspace string) masticview.Digest {
	h := sha256.New()
	for _, part := range []string{workspace, c.Method, c.Host, c.URI} {
		// Writing to a hash does not fail.
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = c.Body.WriteTo(h)
	return masticview.Digest(h.Sum(nil))
}

// Attempt holds what a backend server is sent in addition to the request.
type Attempt struct {
	Server masticview.Server
	// Workspace is the workspace of the key, empty on public routes.
	Workspace string
	// Priority is the engine priority, 0 being the most urgent; negative for servers without
	// priorities.
	Priority int64
	// Salt partitions the prompt cache: requests share cached prompts only with equal salts.
	Salt     string
	Deadline time.Time
	// FetchAddress is the IP:port from which the server should fetch cached parts of the prompt, and
	// SaveAddress the IP:port of the store to which it should write them; either may be empty.
	FetchAddress, SaveAddress string
	// Weights is the version of the weights that the server must have; empty for any version.
	Weights string
	// LastEventID is the identifier of the last event that was relayed to the caller.
	LastEventID string
}

// BackendProtocol implements the protocol of backend servers.
type BackendProtocol interface {
	// Header returns the header of the request to the backend server.
	Header(c *Call, a Attempt, now time.Time) http.Header
	// NotRun reports whether the response states that the request has not run.
	NotRun(status int, h http.Header) bool
	// Replaced reports whether the response states that the server is not the expected one, or
	// has other weights. No host with the same view can use such a server.
	Replaced(status int) bool
	// Valid reports whether the response is valid in this protocol.
	Valid(status int, h http.Header) bool
	// Statement returns what the response, received at now, states about its server. The error is that
	// of a part that cannot be parsed, which then states nothing.
	Statement(status int, h http.Header, now time.Time) (masticcall.Statement, error)
	// LivenessCheck returns the path and header of a request that server answers while it lives.
	// healthPath is that of its pool.
	LivenessCheck(server masticview.Server, healthPath string) (path string, h http.Header)
	// Incarnation returns the incarnation of server that gave the answer to a liveness check, false if that is not known.
	Incarnation(server masticview.Server, status int, h http.Header, body []byte) (string, bool)
}

// CallerProtocol implements the protocol of callers.
type CallerProtocol interface {
	// WriteError responds with an error of this system.
	WriteError(w http.ResponseWriter, e *masticerror.Error)
}
