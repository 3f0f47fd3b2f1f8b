package masticdispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticlimit"
	"masticladder/masticview"
)

// observeRate applies what the answer to a request stated of the request rate of its backend server. It
// is dropped if the inbox is full; the next answer states it again. Answers without a limit, of servers
// for which none is known, take no part in the loop.
func (d *Dispatcher) observeRate(server masticview.Server, request string, sentAt time.Time, r masticcall.StatedRate) {
	switch {
	case r.Kind == masticcall.RateUnstated:
		return
	case r.Kind == masticcall.RateUnlimited && !d.isLimited(server.Name):
		return
	}
	d.trySend(DropRate, &statedRate{server: server, request: request, observation: masticlimit.Observation{
		Limited: r.Kind == masticcall.RateLimited, RequestsPerSecond: r.RequestsPerSecond, SentAt: sentAt,
	}})
}

// isLimited reports whether a limit of the server is known.
func (d *Dispatcher) isLimited(server string) bool {
	limited := d.limited.Load()
	return limited != nil && (*limited)[server]
}

// ApplyLimitReport applies another host's report on request rates. It is dropped if the inbox is full.
func (d *Dispatcher) ApplyLimitReport(r masticlimit.Report) {
	d.trySend(DropReport, &limitReport{r})
}

// TakeLimitReports returns this host's reports on request rates, by the host that each is for.
func (d *Dispatcher) TakeLimitReports() map[string]masticlimit.Report {
	c := &getLimitReports{reply: make(chan map[string]masticlimit.Report, 1)}
	d.send(c)
	select {
	case r := <-c.reply:
		return r
	case <-d.stopped:
		return nil
	}
}

type statedRate struct {
	server      masticview.Server
	request     string
	observation masticlimit.Observation
}

func (c *statedRate) apply(d *Dispatcher, now time.Time) {
	if s, changed := d.scheduler.ObserveRate(now, c.server.Name, c.server.Incarnation, c.observation); changed {
		d.logRate(s).WithField("request", c.request).Info("backend server changed the request rate that it states")
		d.storeLimited()
	}
}

type limitReport struct{ report masticlimit.Report }

func (c *limitReport) apply(d *Dispatcher, now time.Time) {
	changed := d.scheduler.ApplyLimitReport(now, c.report)
	for _, s := range changed {
		d.logRate(s).WithField("from", c.report.Host).Info("another host reported the request rate of a backend server")
	}
	if len(changed) > 0 {
		d.storeLimited()
	}
}

type getLimitReports struct {
	reply chan map[string]masticlimit.Report
}

func (c *getLimitReports) apply(d *Dispatcher, now time.Time) {
	c.reply <- d.scheduler.TakeLimitReports(now)
}

// storeLimited publishes the servers that state a limit to the goroutines that read answers.
func (d *Dispatcher) storeLimited() {
	limited := map[string]bool{}
	for _, name := range d.scheduler.LimitedServers() {
		limited[name] = true
	}
	d.limited.Store(&limited)
}

func (d *Dispatcher) logRate(s masticlimit.Statement) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{
		"server": s.Server, "incarnation": s.Incarnation, "version": s.Version, "limited": s.Limited, "requestsPerSecond": s.RequestsPerSecond,
	})
}
