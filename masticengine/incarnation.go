package masticengine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"syscall"
	"time"

	"masticladder/masticcall"
	"masticladder/masticdetector"
	"masticladder/masticview"
)

// maxEndedIncarnations is the number of ended incarnations stored for each server.
const maxEndedIncarnations = 8

// serverState is the client's state for one backend server, a model engine or a plain service.
type serverState struct {
	incarnation string
	known       bool
	// ended lists the latest incarnations that were reported as ended, newest last.
	ended []string
	// echoesID reports that the server's last answer stated the ID of its request.
	echoesID bool
	// unnamedCount counts the incarnations of a server that does not state them.
	unnamedCount int
}

// runningCall is a call that a backend server may be processing.
type runningCall struct {
	server      string
	incarnation string
	attempt     *masticdetector.Attempt
}

// addRunning records the start of a call on a server, under the server's last known incarnation.
func (c *Client) addRunning(call Call) *runningCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(call.Server.Name)
	return &runningCall{
		server: call.Server.Name, incarnation: s.incarnation,
		attempt: c.detector.Begin(call.Server, s.incarnation, call.Content),
	}
}

func (c *Client) stateOf(server string) *serverState {
	s, ok := c.servers[server]
	if !ok {
		s = &serverState{}
		c.servers[server] = s
	}
	return s
}

// recordIncarnation stores the incarnation that the server stated in its answer to r.
func (c *Client) recordIncarnation(r *runningCall, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation == "" {
		return
	}
	r.incarnation = incarnation
	r.attempt.SetIncarnation(incarnation)
	c.stateOf(r.server).setIncarnation(incarnation)
}

func (c *Client) echoesID(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateOf(server).echoesID
}

func (c *Client) setEchoesID(server string, echoes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateOf(server).echoesID = echoes
}

func (c *Client) knowsIncarnation(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateOf(server).known
}

// ensureIncarnation probes an engine for its incarnation if that is not known.
func (c *Client) ensureIncarnation(ctx context.Context, server masticview.Server) error {
	if server.Kind != masticview.ServerEngine || c.knowsIncarnation(server.Name) {
		return nil
	}
	incarnation, err := c.probe(ctx, server)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateOf(server.Name).setIncarnation(incarnation)
	return nil
}

// markEnded records that the end of an incarnation was reported.
func (s *serverState) markEnded(incarnation string) {
	if len(s.ended) == maxEndedIncarnations {
		s.ended = slices.Delete(s.ended, 0, 1)
	}
	s.ended = append(s.ended, incarnation)
	if s.incarnation == incarnation {
		s.known = false
	}
}

// setIncarnation sets the current incarnation, unless that was reported as ended. A server that
// states no incarnation gets a generated one, a new one after each end.
func (s *serverState) setIncarnation(incarnation string) {
	if incarnation == "" && !s.known {
		incarnation = fmt.Sprintf("unnamed-%d", s.unnamedCount)
		s.unnamedCount++
	}
	if slices.Contains(s.ended, incarnation) {
		return
	}
	s.incarnation, s.known = incarnation, true
}

// probe requests a server's incarnation over a separate connection.
func (c *Client) probe(ctx context.Context, server masticview.Server) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, millis(c.limits.ProbeTimeoutMillis))
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/load", http.NoBody)
	if err != nil {
		return "", err
	}
	sentAt := time.Now()
	a, err := c.singleUse.RoundTrip(q)
	if err != nil {
		return "", err
	}
	_ = a.Body.Close()
	c.observeStatement(server, "", sentAt, a.StatusCode, a.Header)
	return a.Header.Get(HeaderIncarnation), nil
}

// Check implements masticdetector.Checker: an engine is asked for its incarnation, another server
// whether it answers.
func (l *livenessChecker) Check(ctx context.Context, server masticview.Server, incarnation string) masticdetector.Sign {
	now, err := l.client.ping(ctx, server)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return masticdetector.SignRefused
	case err != nil:
		return masticdetector.SignNone
	case now == "" || now == incarnation:
		return masticdetector.SignAnswered
	}
	return masticdetector.SignReplaced
}

// livenessChecker checks servers on which calls failed.
type livenessChecker struct{ client *Client }

// ping returns the incarnation that the server states, empty for a plain service, which states none.
func (c *Client) ping(ctx context.Context, server masticview.Server) (string, error) {
	if server.Kind == masticview.ServerEngine {
		return c.probe(ctx, server)
	}
	sentAt := time.Now()
	a, err := c.singleUse.RoundTrip(pingRequest(server).WithContext(ctx))
	if err != nil {
		return "", err
	}
	c.observeStatement(server, "", sentAt, a.StatusCode, a.Header)
	return "", a.Body.Close()
}

// pingRequest returns the request "OPTIONS *", which any HTTP server answers without running anything.
func pingRequest(server masticview.Server) *http.Request {
	scheme, address, _ := strings.Cut(server.URL, "://")
	return &http.Request{
		Method: http.MethodOptions, Header: http.Header{},
		URL: &url.URL{Scheme: scheme, Host: address, Opaque: "*"},
	}
}

// Report passes a report of the detector on.
func (c *Client) Report(r masticcall.ServerReport) {
	if r.Verdict == masticcall.VerdictEnded && c.endIncarnation(r.Server, r.Incarnation) {
		c.counters.ServersEnded.Add(1)
	}
	c.onEnded(r)
}

// endIncarnation marks an incarnation as ended. It returns false if it was already marked. A server that
// states none may end any number of times.
func (c *Client) endIncarnation(server, incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(server)
	if incarnation == "" {
		return true
	}
	if slices.Contains(s.ended, incarnation) {
		return false
	}
	s.markEnded(incarnation)
	return true
}
