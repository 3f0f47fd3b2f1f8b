package masticengine

import (
	"net/http"
	"strconv"

	"masticladder/masticcall"
	"masticladder/masticstream"
	"masticladder/masticview"
)

// Headers of the protocol between hosts and backend servers.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderResumeFrom  = "X-Resume-From"
	HeaderPriority    = "X-Priority"
	HeaderCacheSalt   = "X-Cache-Salt"
	HeaderIncarnation = "X-Server-Incarnation"
	HeaderWorkspace   = "X-Workspace"
)

// forwardedHeaders are the only headers of a caller that are sent to a backend server.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Idempotency-Key",
	"If-Match", "If-Modified-Since", "If-None-Match",
}

// returnedHeaders are the only headers of a backend server that are returned to a caller.
var returnedHeaders = []string{
	"Cache-Control", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location",
}

// ForwardedHeader returns the fields of a caller's header that may be sent to a backend server.
func ForwardedHeader(h http.Header) http.Header { return filterHeader(h, forwardedHeaders) }

func filterHeader(h http.Header, names []string) http.Header {
	out := make(http.Header, len(names))
	for _, n := range names {
		if v := h[n]; len(v) > 0 {
			out[n] = v
		}
	}
	return out
}

// Call is one attempt to send a request to one backend server.
type Call struct {
	Server    masticview.Server
	RequestID string
	// Method, Path (escaped) and Query are those of the HTTP request.
	Method string
	Path   string
	Query  string
	// Header is filtered by the allowlist before it is sent.
	Header http.Header
	Body   []byte
	// Workspace, Priority and CacheSalt are sent as headers. An empty Workspace or CacheSalt is
	// omitted; Priority and CacheSalt are sent to engines only.
	Workspace string
	Priority  int
	CacheSalt string
	// Sequence is the progress of a streamed answer after earlier attempts.
	Sequence masticstream.Sequence
	// Once ensures that the request is sent on at most one connection.
	Once bool
	// Content is the content in reports of ended servers. Held reports that the call has a hold of its server, which is
	// released afterwards.
	Content masticcall.Content
	Held    bool
	// BeforeSend, when set, is called once there is a connection, right before the first byte is sent on it. Nothing is sent
	// if it returns an error.
	BeforeSend func() error
	// Check, when set, is called periodically; its error ends the call.
	Check func() error
	// BeforeWait, when set, is called before a stream waits for more data; its error ends the
	// call.
	BeforeWait func() error
}

func (c Call) header() http.Header {
	h := filterHeader(c.Header, forwardedHeaders)
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
