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
	answer  chan<- masticschedule.Outcome
	ticket  masticschedule.Ticket
}

func (c *submit) apply(d *Dispatcher, now time.Time) {
	c.ticket = d.newTicket(c.answer)
	d.scheduler.Submit(now, c.ticket, c.request, c.prompt)
}

type submitService struct {
	service masticview.Service
	avoid   []string
	answer  chan<- masticschedule.Outcome
	ticket  masticschedule.Ticket
}

func (c *submitService) apply(d *Dispatcher, now time.Time) {
	c.ticket = d.newTicket(c.answer)
	d.scheduler.SubmitService(now, c.ticket, c.service, c.avoid)
}

// withdraw ends a request whose asker has gone, whether or not it has an outcome by now.
type withdraw struct {
	command command
	answer  <-chan masticschedule.Outcome
}

func (c *withdraw) apply(d *Dispatcher, now time.Time) {
	var ticket masticschedule.Ticket
	switch s := c.command.(type) {
	case *submit:
		ticket = s.ticket
	case *submitService:
		ticket = s.ticket
	}
	delete(d.asking, ticket)
	d.scheduler.Cancel(now, ticket)
}

type firstToken struct {
	ticket masticschedule.Ticket
	at     time.Time
}

func (c *firstToken) apply(d *Dispatcher, _ time.Time) { d.scheduler.FirstToken(c.at, c.ticket) }

type done struct {
	ticket masticschedule.Ticket
	at     time.Time
	result masticcall.Result
}

func (c *done) apply(d *Dispatcher, _ time.Time) {
	d.scheduler.Done(c.at, c.ticket, c.result)
	if c.result.ServerEnded {
		d.signal()
	}
}

type setView struct{ view masticview.View }

func (c *setView) apply(d *Dispatcher, now time.Time) { d.scheduler.SetView(now, c.view) }

type setSuspects struct{ digests []masticview.Digest }

func (c *setSuspects) apply(d *Dispatcher, _ time.Time) { d.scheduler.SetSuspects(c.digests) }

type report struct{ report masticroute.Report }

func (c *report) apply(d *Dispatcher, now time.Time) { d.scheduler.Report(now, c.report) }

type events struct {
	server, incarnation string
	batch               masticcache.Batch
}

func (c *events) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Events(now, c.server, c.incarnation, c.batch)
}

type peer struct{ report masticroute.PeerReport }

func (c *peer) apply(d *Dispatcher, now time.Time) { d.scheduler.Peer(now, c.report) }

type own struct {
	host   string
	answer chan masticroute.PeerReport
}

func (c *own) apply(d *Dispatcher, _ time.Time) { c.answer <- d.scheduler.Own(c.host) }

type probe struct {
	server, incarnation string
	alive               bool
}

func (c *probe) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Probe(now, c.server, c.incarnation, c.alive)
}
