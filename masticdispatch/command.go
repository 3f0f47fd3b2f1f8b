package masticdispatch

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

type submit struct {
	request masticcall.Request
	prompt  masticprompt.Prompt
	reply   chan<- masticschedule.Outcome
	ticket  masticschedule.Ticket
}

func (c *submit) apply(d *Dispatcher, now time.Time) {
	c.ticket = d.newTicket(c.reply)
	d.scheduler.Submit(now, c.ticket, c.request, c.prompt)
}

type submitService struct {
	service masticview.Service
	avoid   []string
	reply   chan<- masticschedule.Outcome
	ticket  masticschedule.Ticket
}

func (c *submitService) apply(d *Dispatcher, now time.Time) {
	c.ticket = d.newTicket(c.reply)
	d.scheduler.SubmitService(now, c.ticket, c.service, c.avoid)
}

// cancelRequest cancels a request whose caller stopped waiting. The request may have an
// outcome by now.
type cancelRequest struct {
	submitted command
	reply     <-chan masticschedule.Outcome
}

func (c *cancelRequest) apply(d *Dispatcher, now time.Time) {
	var ticket masticschedule.Ticket
	switch s := c.submitted.(type) {
	case *submit:
		ticket = s.ticket
	case *adopt:
		ticket = s.ticket
	case *submitService:
		ticket = s.ticket
	}
	delete(d.waiters, ticket)
	d.scheduler.Cancel(now, ticket)
}

type firstToken struct {
	ticket masticschedule.Ticket
	at     time.Time
}

func (c *firstToken) apply(d *Dispatcher, _ time.Time) {
	d.scheduler.FirstToken(c.at, c.ticket)
	if d.scheduler.TakeFinishedUnsent() {
		d.signalReportDue()
	}
}

type done struct {
	ticket masticschedule.Ticket
	at     time.Time
	result masticcall.Result
}

func (c *done) apply(d *Dispatcher, _ time.Time) {
	d.scheduler.Done(c.at, c.ticket, c.result)
	if c.result.ServerEnded {
		d.signalReportDue()
	}
}

type setView struct{ view masticview.View }

func (c *setView) apply(d *Dispatcher, now time.Time) {
	d.scheduler.SetView(now, c.view)
	d.forgetLeaving(c.view)
	d.verifyLeaving(now)
	if shards := d.scheduler.Shards(); d.sharding.setShards(shards) {
		d.logShards(c.view.Revision(), shards)
	}
}

type setSuspects struct{ digests []masticview.Digest }

func (c *setSuspects) apply(d *Dispatcher, _ time.Time) { d.scheduler.SetSuspects(c.digests) }

type loadReport struct{ report masticroute.LoadReport }

func (c *loadReport) apply(d *Dispatcher, now time.Time) { d.scheduler.Report(now, c.report) }

type cacheEvents struct {
	server, incarnation string
	batch               masticcache.Batch
}

func (c *cacheEvents) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Events(now, c.server, c.incarnation, c.batch)
}

type partEvents struct {
	server string
	reset  bool
	events []masticcache.PartEvent
}

func (c *partEvents) apply(d *Dispatcher, now time.Time) {
	d.scheduler.PartEvents(now, c.server, c.reset, c.events)
}

type peerReport struct{ report masticroute.PeerReport }

func (c *peerReport) apply(d *Dispatcher, now time.Time) { d.scheduler.ApplyPeerReport(now, c.report) }

type getOwnReport struct {
	host  string
	reply chan masticroute.PeerReport
}

func (c *getOwnReport) apply(d *Dispatcher, _ time.Time) {
	c.reply <- d.scheduler.TakeOwnReport(c.host)
}

type probeResult struct {
	server, incarnation string
	alive               bool
}

func (c *probeResult) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Probe(now, c.server, c.incarnation, c.alive)
}
