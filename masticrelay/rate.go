package masticrelay

import (
	"sync"

	"github.com/sirupsen/logrus"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticview"
)

// statedRates are the rates that backend servers stated last, by name.
type statedRates struct {
	mutex  sync.Mutex
	stated map[string]masticcall.StatedRate
}

// replace stores r and returns the statement before it. It stores nothing for a server that never
// stated a limit.
func (s *statedRates) replace(server string, r masticcall.StatedRate) masticcall.StatedRate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, known := s.stated[server]
	switch {
	case !known && r.Kind != masticcall.RateLimited:
		return r
	case s.stated == nil:
		s.stated = map[string]masticcall.StatedRate{}
	}
	s.stated[server] = r
	return before
}

// observeRate logs a change of the rate that server states, and counts the answers that state one.
func (c *Relay) observeRate(server masticview.Server, request string, answer *masticbackend.Answer) {
	r, err := c.backends.StatedRate(answer.Status, answer.Header)
	log := c.log.WithFields(logrus.Fields{"server": server.Name, "incarnation": server.Incarnation, "request": request, "status": answer.Status})
	if err != nil {
		log.WithError(err).Warn("stated request rate ignored")
	}
	if r.Kind == masticcall.RateLimited {
		c.metrics.limitedAnswers.Inc(1)
	}
	if r.Kind == masticcall.RateUnstated {
		return
	}
	if before := c.rates.replace(server.Name, r); before != r {
		log.WithField("limited", r.Kind == masticcall.RateLimited).WithField("requestsPerSecond", r.RequestsPerSecond).
			WithField("before", before.RequestsPerSecond).Info("backend server changed the request rate that it states")
	}
}
