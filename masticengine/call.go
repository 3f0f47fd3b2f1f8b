package masticengine

import (
	"net/http"
	"strconv"

	"masticladder/masticstream"
	"masticladder/masticview"
)

// Headers of the protocol between the system and backend servers.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderResumeFrom  = "X-Resume-From"
	HeaderPriority    = "X-Priority"
	HeaderCacheSalt   = "X-Cache-Salt"
	HeaderIncarnation = "X-Server-Incarnation"
	HeaderWorkspace   = "X-Workspace"
)

// forwarded are the only headers of a caller that a backend server gets.
var forwarded = []string{
	"Accept", "Accept-Language", "Content-Type", "Idempotency-Key",
	"If-Match", "If-Modified-Since", "If-None-Match",
}

// answered are the only headers of a backend server that a caller gets.
var answered = []string{
	"Cache-Control", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location",
}

// ForwardedHeader returns the part of a caller's header that a backend server may get.
func ForwardedHeader(h http.Header) http.Header { return allowed(h, forwarded) }

func allowed(h http.Header, names []string) http.Header {
	out := make(http.Header, len(names))
	for _, n := range names {
		if v := h[n]; len(v) > 0 {
			out[n] = v
		}
	}
	return out
}

// Call is one attempt of a request on one backend server.
type Call struct {
	Server    masticview.Server
	RequestID string
	// Method, Path (escaped) and Query say what is asked of the server.
	Method string
	Path   string
	Query  string
	// Header is cut down to the allowlist before it is sent.
	Header http.Header
	Body   []byte
	// Workspace, Priority and CacheSalt go into headers; empty ones are left out.
	Workspace string
	Priority  int
	CacheSalt string
	// Sequence is the progress of a streamed answer over earlier attempts.
	Sequence masticstream.Sequence
	// Once forbids that a byte is sent on more than one connection.
	Once bool
	// Digest names the content in reports of ended servers.
	Digest masticview.Digest
	// Guard, when set, is asked regularly and ends the call with its error.
	Guard func() error
	// BeforeWait, when set, is called before a stream waits for more; its error ends the call.
	BeforeWait func() error
}

func (c Call) header() http.Header {
	h := allowed(c.Header, forwarded)
	h.Set(HeaderRequestID, c.RequestID)
	h.Set("User-Agent", "masticladder")
	if c.Workspace != "" {
		h.Set(HeaderWorkspace, c.Workspace)
	}
	if c.Server.Kind != masticview.ServerEngine {
		return h
	}
	h.Set(HeaderPriority, strconv.Itoa(c.Priority))
	if c.CacheSalt != "" {
		h.Set(HeaderCacheSalt, c.CacheSalt)
	}
	if n := c.Sequence.Next(); n > 0 {
		h.Set(HeaderResumeFrom, strconv.FormatUint(n, 10))
	}
	return h
}
