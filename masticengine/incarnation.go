package masticengine

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"masticladder/masticview"
)

// maxEnded is the number of ended incarnations that are remembered for each server.
const maxEnded = 8

// serverState is what is known of one model engine.
type serverState struct {
	incarnation string
	known       bool
	// ended are the last incarnations that were reported as ended, the newest last.
	ended   []string
	running map[*runningCall]struct{}
	// unnamed counts the runs of a server that does not name its incarnations.
	unnamed int
}

// runningCall is a call that an engine may be working on.
type runningCall struct {
	server      string
	incarnation string
	digest      masticview.Digest
}

// enter records that a call starts on a server whose incarnation is known.
func (c *Client) enter(call Call) *runningCall {
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

func (c *Client) leave(r *runningCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stateOf(r.server).running, r)
}

// saw records the incarnation that the server named in its answer to r.
func (c *Client) saw(r *runningCall, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation == "" {
		return
	}
	r.incarnation = incarnation
	c.stateOf(r.server).learned(incarnation)
}

func (c *Client) knows(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateOf(server).known
}

// learn asks an engine for its incarnation before the first call to it.
func (c *Client) learn(ctx context.Context, server masticview.Server) error {
	if server.Kind != masticview.ServerEngine || c.knows(server.Name) {
		return nil
	}
	incarnation, err := c.probe(ctx, server)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateOf(server.Name).learned(incarnation)
	return nil
}

// markEnded remembers that the end of an incarnation was reported.
func (s *serverState) markEnded(incarnation string) {
	if len(s.ended) == maxEnded {
		s.ended = slices.Delete(s.ended, 0, 1)
	}
	s.ended = append(s.ended, incarnation)
	if s.incarnation == incarnation {
		s.known = false
	}
}

// learned takes an incarnation, unless its end was reported.
func (s *serverState) learned(incarnation string) {
	if incarnation == "" && !s.known {
		incarnation = fmt.Sprintf("unnamed-%d", s.unnamed)
		s.unnamed++
	}
	if slices.Contains(s.ended, incarnation) {
		return
	}
	s.incarnation, s.known = incarnation, true
}

// probe asks a server for its incarnation over a connection of its own.
func (c *Client) probe(ctx context.Context, server masticview.Server) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, millis(c.limits.ProbeMillis))
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/load", http.NoBody)
	if err != nil {
		return "", err
	}
	a, err := c.fresh.RoundTrip(q)
	if err != nil {
		return "", err
	}
	_ = a.Body.Close()
	return a.Header.Get(HeaderIncarnation), nil
}

// checkEnded finds out after a broken connection whether the server's incarnation
// ended. A server that answers without naming its incarnation counts as alive. The first call to find out reports all digests that were running.
func (c *Client) checkEnded(call Call, r *runningCall) bool {
	now, err := c.probe(context.Background(), call.Server)
	if err == nil && (now == "" || now == r.incarnation) {
		return false
	}
	if digests, first := c.endIncarnation(r); first {
		c.counters.Ended.Add(1)
		c.onEnded(r.server, r.incarnation, digests)
	}
	return true
}

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
