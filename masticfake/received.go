package masticfake

import (
	"net/http"
	"slices"
)

// maxReceived is the number of requests that a stand-in keeps.
const maxReceived = 256

// Received is what a stand-in saw of one request.
type Received struct {
	// Path holds the query too.
	Path   string
	Header http.Header
	Body   []byte
}

// recent keeps the latest requests.
type recent struct{ requests []Received }

func (k *recent) add(r *http.Request, body []byte) {
	if len(k.requests) == maxReceived {
		k.requests = slices.Delete(k.requests, 0, 1)
	}
	k.requests = append(k.requests, Received{Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body})
}

func (k *recent) list() []Received { return slices.Clone(k.requests) }
