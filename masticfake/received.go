package masticfake

import (
	"net/http"
	"slices"
)

// maxReceived is the number of requests that a fake server keeps.
const maxReceived = 256

// Received is a request as a fake server received it.
type Received struct {
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// receivedLog keeps the latest maxReceived requests.
type receivedLog struct{ requests []Received }

func (k *receivedLog) add(r *http.Request, body []byte) {
	if len(k.requests) == maxReceived {
		k.requests = slices.Delete(k.requests, 0, 1)
	}
	k.requests = append(k.requests, Received{Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body})
}

func (k *receivedLog) list() []Received { return slices.Clone(k.requests) }
