package masticrelay

import (
	"net/http"
	"time"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticview"
)

// observeStatement passes on what the answer to a request that was sent at the given time, and the
// informational answers before it, state about their server. It returns the statement of the answer.
func (c *Relay) observeStatement(server masticview.Server, request string, sentAt time.Time, answer *masticbackend.Answer) masticcall.Statement {
	for _, h := range answer.Informational {
		c.observeHead(server, request, sentAt, http.StatusProcessing, h)
	}
	return c.observeHead(server, request, sentAt, answer.Status, answer.Header)
}

func (c *Relay) observeHead(server masticview.Server, request string, sentAt time.Time, status int, h http.Header) masticcall.Statement {
	s, err := c.backends.Statement(status, h, time.Now())
	if err != nil {
		c.log.WithError(err).WithField("server", server.Name).WithField("request", request).Warn("statement of a backend server ignored")
	}
	c.metrics.recordStatement(s)
	if c.statements != nil {
		c.statements.ObserveStatement(server, request, sentAt, s)
	}
	return s
}
