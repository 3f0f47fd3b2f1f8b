// Package mastichttp has the HTTP clients for calls to backend servers and the platform, whose answers
// are bounded whatever the other side sends.
package mastichttp

import (
	"net"
	"net/http"
	"time"
)

const (
	// MaxHeaderBytes is the maximum size of the header of an answer; net/http accepts 10 MB. Parsed short lines take some
	// sixteen times their size.
	MaxHeaderBytes = 16 << 10
	// dialTimeout bounds the connecting of a call that has a later deadline.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdlePerHost is the number of unused connections to one address.
	maxIdlePerHost = 2
)

// NewTransport returns a transport without proxies and compression. Its answers have a bounded header.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
	}
}

// NewClient returns a client with such a transport, which follows no redirects. Callers bound the time of
// each call by its context and the body by a reader.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(), CheckRedirect: refuseRedirect}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
