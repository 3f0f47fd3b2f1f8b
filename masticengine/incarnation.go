package masticengine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticview"
)

// maxEndedIncarnations is the number of ended incarnations stored for each server.
const maxEndedIncarnations = 8

// serverState is the client's state for one backend server, a model engine or a plain service.
type serverState struct {
	incarnation string
	known       bool
	// ended lists the latest incarnations that were reported as ended, newest last.
	ended   []string
	running map[*runningCall]struct{}
	// unnamedCount counts the incarnations of a server that does not state them.
	unnamedCount int
}

// runningCall is a call that a backend server may be processing.
type runningCall struct {
	server      string
	incarnation string
	digest      masticview.Digest
}

// addRunning records the start of a call on a server, under the server's last known incarnation.
func (c *Client) addRunning(call Call) *runningCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(call.Server.Name)
	r := &runningCall{server: call.Server.Name, incarnation: s.incarnation, digest: call.Digest}
	s.running[r] = struct{}{}
	return r
}

func (c *Client) stateOf(server string) *serverState {
	s, ok := c.servers[server]
	if !ok {
		s = &serverState{running: make(map[*runningCall]struct{})}
		c.servers[server] = s
	}
	return s
}

func (c *Client) removeRunning(r *runningCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stateOf(r.server).running, r)
}

// recordIncarnation stores the incarnation that the server stated in its answer to r.
func (c *Client) recordIncarnation(r *runningCall, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation == "" {
		return
	}
	r.incarnation = incarnation
	c.stateOf(r.server).setIncarnation(incarnation)
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
	a, err := c.singleUse.RoundTrip(q)
	if err != nil {
		return "", err
	}
	_ = a.Body.Close()
	return a.Header.Get(HeaderIncarnation), nil
}

// checkEnded probes the server after a broken connection and reports whether the incarnation of
// r has ended. A server that answers without stating its incarnation counts as alive. The first
// call that detects the end reports the digests of all calls running on that incarnation.
func (c *Client) checkEnded(call Call, r *runningCall) bool {
	if call.Server.Kind != masticview.ServerEngine {
		return c.checkServiceEnded(call)
	}
	now, err := c.probe(context.Background(), call.Server)
	if err == nil && (now == "" || now == r.incarnation) {
		return false
	}
	if digests, first := c.endIncarnation(r); first {
		c.counters.ServersEnded.Add(1)
		c.reportEnded(r.server, r.incarnation, digests)
	}
	return true
}

// checkServiceEnded reports whether a plain service's server refuses connections after one broke, so
// that it has ended. These servers state no incarnation. Each call reports itself.
func (c *Client) checkServiceEnded(call Call) bool {
	ctx, cancel := context.WithTimeout(context.Background(), millis(c.limits.ProbeTimeoutMillis))
	defer cancel()
	conn, err := c.dial(ctx, "tcp", call.Server.Address())
	if err == nil {
		_ = conn.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	c.counters.ServersEnded.Add(1)
	c.reportEnded(call.Server.Name, "", []masticview.Digest{call.Digest})
	return true
}

// reportEnded reports that the calls with the given digests ran on an incarnation that has ended.
func (c *Client) reportEnded(server, incarnation string, digests []masticview.Digest) {
	r := masticcall.ServerReport{Server: server, Incarnation: incarnation, Verdict: masticcall.VerdictEnded, FailedAt: masticclock.Now()}
	for _, d := range digests {
		r.Requests = append(r.Requests, masticcall.FailedRequest{Digest: d})
	}
	c.onEnded(r)
}

// endIncarnation marks the incarnation of r as ended and returns the digests of the calls
// running on it. It returns false if the incarnation was already marked.
func (c *Client) endIncarnation(r *runningCall) ([]masticview.Digest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(r.server)
	if slices.Contains(s.ended, r.incarnation) {
		return nil, false
	}
	s.markEnded(r.incarnation)
	seen := make(map[masticview.Digest]struct{}, len(s.running))
	var digests []masticview.Digest
	for other := range s.running {
		if _, ok := seen[other.digest]; ok || other.incarnation != r.incarnation {
			continue
		}
		seen[other.digest] = struct{}{}
		digests = append(digests, other.digest)
	}
	return digests, true
}
