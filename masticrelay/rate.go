package masticrelay

import (
	"time"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticview"
)

// observeRate passes on what the answer to a request that was sent at the given time states of the
// request rate of its server.
func (c *Relay) observeRate(server masticview.Server, request string, sentAt time.Time, answer *masticbackend.Answer) {
	r, err := c.backends.StatedRate(answer.Status, answer.Header)
	if err != nil {
		c.log.WithError(err).WithField("server", server.Name).WithField("request", request).Warn("stated request rate ignored")
	}
	if r.Kind == masticcall.RateLimited {
		c.metrics.limitedAnswers.Inc(1)
	}
	if c.rates != nil {
		c.rates.ObserveRate(server, request, sentAt, r)
	}
}
