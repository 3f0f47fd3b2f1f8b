package masticgate

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"masticladder/masticcall"
	"masticladder/masticdrain"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/mastichold"
	"masticladder/masticview"
)

// serviceCall is one call to a plain service.
type serviceCall struct {
	inbound     *inbound
	service     masticview.Service
	path        string
	body        []byte
	deadline    time.Time
	avoid       []string
	server      string
	serverOwner string
	// content identifies the call in reports of ended servers: its workspace and all that is sent but
	// the idempotency key.
	content masticcall.Content
	// held reports that the running attempt has an exclusive hold of its backend server.
	held bool
	// sent reports that a byte may have reached a backend server.
	sent bool
}

func (g *Gate) serveService(q *inbound) {
	c, e := q.readService()
	if e != nil {
		q.refuse(e)
		return
	}
	if c.service.Idempotent {
		c.deadline = q.deadline()
		q.admit(c.service.Name, c.deadline)
		c.serveIdempotent()
		return
	}
	c.serveOrder()
}

func (q *inbound) readService() (*serviceCall, *masticerror.Error) {
	name := q.request.PathValue("name")
	s, ok := q.gate.views.View().Service(name)
	if !s.Open {
		if e := q.authenticate(); e != nil {
			return nil, e
		}
	}
	if !ok {
		return nil, errNoService()
	}
	q.service = s.Name
	if !s.Open && !q.identity.profile.AllowsService(s.Name) {
		return nil, masticerror.New(masticerror.KindForbidden, "the profile may not use this service")
	}
	body, e := q.readBody()
	if e != nil {
		return nil, e
	}
	if q.containsKey(body) {
		return nil, errContainsKey()
	}
	c := &serviceCall{inbound: q, service: s, path: servicePath(q.request), body: body}
	c.content = masticcall.Content{Digest: c.digestOf(q.identity.profile.Workspace)}
	return c, nil
}

// digestOf returns the digest of prefix and the call's content.
func (c *serviceCall) digestOf(prefix ...string) masticview.Digest {
	h := sha256.New()
	r := c.inbound.request
	for _, part := range append(prefix, c.service.Name, r.Method, c.path, r.URL.RawQuery, r.Header.Get("Content-Type"), string(c.body)) {
		writePart(h, part)
	}
	return masticview.Digest(h.Sum(nil))
}

// servicePath returns the escaped path after /services/NAME.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	i := strings.IndexByte(rest, '/')
	if i < 0 {
		return "/"
	}
	return rest[i:]
}

func (c *serviceCall) allowedBy(p masticview.Profile) bool { return p.AllowsService(c.service.Name) }

// recheck checks the caller's connection, the deadline and the quarantine, and the key again unless the service was open at the start and
// still is.
func (c *serviceCall) recheck() *masticerror.Error {
	g := c.inbound.gate
	if e := c.waitingError(); e != nil {
		return e
	}
	if e := g.quarantineError(c.content); e != nil {
		return e
	}
	if s, ok := g.views.View().Service(c.service.Name); !ok {
		return errNoService()
	} else if s.Open && c.service.Open {
		return nil
	}
	return g.recheck(c.inbound.identity, c.allowedBy)
}

// acquire acquires a backend server. A call that is suspected of ending servers gets one on which,
// over all hosts, no other suspected request runs.
func (c *serviceCall) acquire(ctx context.Context) (masticcall.Assignment, *masticerror.Error) {
	g := c.inbound.gate
	c.inbound.setStage(masticdrain.StageServer)
	deadline, _ := ctx.Deadline()
	a, held, e := g.drain.acquire(ctx, mastichold.Request{
		Holds: g.holds, Content: c.content, Deadline: deadline, Acquire: c.acquireExcept, Now: g.now,
	}, masticdrain.Repeat(c.service.Idempotent), c.sent)
	c.held = held
	return a, e
}

// acquireExcept acquires a backend server other than the unavailable ones. The key is checked before
// and after the acquisition.
func (c *serviceCall) acquireExcept(ctx context.Context, unavailable []string) (masticcall.Assignment, error) {
	if e := c.recheck(); e != nil {
		return nil, e
	}
	avoid := append(c.avoid[:len(c.avoid):len(c.avoid)], unavailable...)
	a, err := c.inbound.gate.dispatcher.AcquireService(ctx, c.service, avoid)
	if err != nil {
		return nil, err
	}
	if e := c.recheck(); e != nil {
		a.Done(c.inbound.gate.now(), masticcall.Result{Failure: string(e.Kind())})
		return nil, e
	}
	return a, nil
}

// dispatch sends the call to one backend server.
func (c *serviceCall) dispatch(ctx context.Context, a masticcall.Assignment) (masticengine.Answer, *masticengine.Failure) {
	c.server, c.serverOwner = a.Server().Name, a.Server().Owner
	c.inbound.waitForAnswer(c.server)
	answer, err := c.inbound.gate.engine.Do(ctx, masticengine.Call{
		Server:     a.Server(),
		RequestID:  c.inbound.id,
		Method:     c.inbound.request.Method,
		Path:       c.path,
		Query:      c.inbound.request.URL.RawQuery,
		Header:     c.inbound.request.Header,
		Body:       c.body,
		Workspace:  c.inbound.identity.profile.Workspace,
		Once:       !c.service.Idempotent,
		Content:    c.content,
		Held:       c.held,
		BeforeSend: c.beforeSend,
	})
	c.releaseHold(err == nil)
	if err != nil {
		f := failureOf(err)
		c.sent = c.sent || f.Sent
		a.Done(c.inbound.gate.now(), masticcall.Result{Failure: string(f.Err.Kind()), ServerEnded: f.ServerEnded})
		return answer, f
	}
	c.inbound.keep(answer, nil)
	c.sent = true
	a.Done(c.inbound.gate.now(), masticcall.Result{})
	return answer, nil
}

// releaseHold releases the hold, if any, of the attempt that has just ended.
func (c *serviceCall) releaseHold(completed bool) {
	if c.held {
		c.inbound.gate.holds.Release(c.content, c.server, completed)
	}
	c.held = false
}

// serveIdempotent serves a call that may be sent to several backend servers until one answers.
func (c *serviceCall) serveIdempotent() {
	ctx, cancel := context.WithDeadline(c.inbound.request.Context(), c.deadline)
	defer cancel()
	ctx, scope := c.inbound.gate.drain.plan.Sent(ctx)
	defer scope.End()
	ctx, watch := c.inbound.connection.Watch(ctx)
	defer watch.Stop()
	answer, e := c.sendWithRetries(ctx)
	if e != nil {
		c.fail(e)
		return
	}
	c.succeed(answer)
}

func (c *serviceCall) sendWithRetries(ctx context.Context) (masticengine.Answer, *masticerror.Error) {
	var busy *masticengine.Answer
	var last *masticerror.Error
	for attempt := range c.inbound.gate.limits.MaxAttempts {
		if !c.inbound.gate.retries.allow(c.service.Name, attempt) {
			break
		}
		a, e := c.acquire(ctx)
		if e != nil {
			last = preferAttemptError(e, last)
			break
		}
		answer, f := c.dispatch(ctx, a)
		switch {
		case f == nil && answer.Status != http.StatusServiceUnavailable:
			return answer, nil
		case f == nil:
			busy = &answer
		case !f.Retryable():
			return answer, f.Err
		default:
			last = f.Err
		}
		c.avoid = append(c.avoid[:len(c.avoid):len(c.avoid)], c.server)
	}
	if busy != nil {
		return *busy, nil
	}
	return masticengine.Answer{}, last
}

func (c *serviceCall) succeed(a masticengine.Answer) {
	for name, values := range a.Header {
		c.inbound.writer.Header()[name] = values
	}
	c.reply(a.Status, a.Body)
}

// reply sends the service's own response, fresh or recorded.
func (c *serviceCall) reply(status int, body []byte) {
	q := c.inbound
	if len(body) > 0 {
		q.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.writeStatus(status)
	_ = q.write(body)
	q.gate.usage.Add(c.usage(""))
	q.logOutcome(nil, c.server)
}

func (c *serviceCall) fail(e *masticerror.Error) {
	if c.sent {
		e = e.WithSent()
	}
	c.inbound.gate.usage.Add(c.usage(string(e.Kind())))
	c.inbound.answerError(e)
	c.inbound.logOutcome(e, c.server)
}

func (c *serviceCall) usage(refusal string) masticcall.UsageRecord {
	p := c.inbound.identity.profile
	return masticcall.UsageRecord{
		Workspace:   p.Workspace,
		Profile:     p.Name,
		ServerOwner: c.serverOwner,
		Order:       !c.service.Idempotent,
		Refusal:     refusal,
	}
}
