package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcrowd"
)

const (
	// listenerMemoryLimit is the runtime's limit on the memory of a process, listenerMemoryMB what its machine has.
	listenerMemoryLimit = "96MiB"
	listenerMemoryMB    = 120
	// listenerDescriptors is the number of descriptors that the process may open at operators' and peers' listeners.
	// Those of callers are bounded by the descriptors of the process.
	listenerDescriptors = 1_200
)

// loadedListener is one listener with the load for it and an ordinary request.
type loadedListener struct {
	name, address  string
	config         *tls.Config
	forms          []masticcrowd.Form
	maxDescriptors int
	serves         func() bool
}

// TestUntrustedCallersFillMemoryOfHost: the lines of encrypted headers were not counted, and operators' and peers'
// listeners had no bound at all.
func TestUntrustedCallersFillMemoryOfHost(t *testing.T) {
	for _, secure := range []bool{false, true} {
		kind := "plain"
		if secure {
			kind = "TLS"
		}
		for i, name := range []string{"callers", "operators", "peers"} {
			t.Run(kind+" "+name, func(t *testing.T) {
				p, client, config := startLoadedHost(t, secure)
				l := loadedListeners(p, client, config)[i]
				for _, f := range l.forms {
					t.Run(f.Name, func(t *testing.T) { loadListener(t, p, l, f) })
				}
			})
		}
	}
}

func startLoadedHost(t *testing.T, secure bool) (*process, *http.Client, *tls.Config) {
	p := newFleet(t, 1)[0]
	var config *tls.Config
	if secure {
		a := newAuthority(t)
		pool := x509.NewCertPool()
		pool.AddCert(a.certificate)
		config = &tls.Config{RootCAs: pool, ServerName: hostIP(0)}
		p.tls = a.settings()
		p.writeSettings(0, []*process{p})
	}
	t.Setenv("GOMEMLIMIT", listenerMemoryLimit)
	p.start()
	return p, &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: config}}, config
}

func loadedListeners(p *process, client *http.Client, config *tls.Config) []loadedListener {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	answers := func(address, path string) func() bool {
		return func() bool {
			a, err := client.Get(scheme + address + path)
			if err != nil {
				return false
			}
			_ = a.Body.Close()
			return a.StatusCode == http.StatusOK
		}
	}
	admin := masticcrowd.Target{
		Method: http.MethodPost, Path: "/v1/publish", JSONMethod: http.MethodPost, JSONPath: "/v1/publish",
		JSONHead: `{"requestId":"r","change":{"keys":[`, JSONItem: `{}`, JSONTail: `]}}`,
	}
	callers := masticcrowd.Target{Method: http.MethodPost, Path: "/v1/chat/completions"}
	return []loadedListener{
		{"callers", p.listen, config, masticcrowd.HTTPForms(callers), 0, answers(p.listen, "/healthz")},
		{"operators", p.admin, config, masticcrowd.HTTPForms(admin), listenerDescriptors, answers(p.admin, "/v1/status")},
		{"peers", p.peer, nil, masticcrowd.PeerForms(), listenerDescriptors, answers(p.admin, "/v1/usage")},
	}
}

func loadListener(t *testing.T, p *process, l loadedListener, f masticcrowd.Form) {
	c := qt.New(t)
	waitFor(t, "an ordinary request before the load", l.serves)
	measured := masticcrowd.Process(p.command.Process.Pid)
	c.Assert(measured.ResetPeak(), qt.IsNil)
	crowd := masticcrowd.Gather(l.address, l.config, f)
	usage, err := measured.Steady()
	c.Check(err, qt.IsNil)
	t.Logf("%d connections: %v", f.Connections, usage)
	waitFor(t, "an ordinary request beside the load", l.serves)
	crowd.Disperse()
	waitFor(t, "an ordinary request after the load", l.serves)
	end, err := measured.Usage()
	c.Assert(err, qt.IsNil)
	t.Logf("peak memory with the ordinary requests: %v", end)
	c.Check(max(usage.PeakBytes, end.PeakBytes) <= listenerMemoryMB<<20, qt.IsTrue, qt.Commentf("%v", end))
	c.Check(l.maxDescriptors == 0 || usage.Descriptors <= l.maxDescriptors, qt.IsTrue, qt.Commentf("%v", usage))
}
