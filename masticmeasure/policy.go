package masticmeasure

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

// policy is the routing policy of one host.
type policy interface {
	Submit(now time.Time, t masticschedule.Ticket, r masticcall.Request, p masticprompt.Prompt)
	FirstToken(now time.Time, t masticschedule.Ticket)
	Done(now time.Time, t masticschedule.Ticket, r masticcall.Result)
	Report(now time.Time, r masticroute.LoadReport)
	Events(now time.Time, server, incarnation string, b masticcache.Batch) masticcache.Applied
	Probe(now time.Time, server, incarnation string, alive bool)
	Poll(now time.Time)
	NextPoll(now time.Time) time.Time
	Outcomes() []masticschedule.Outcome
}

// namedPolicy is a policy under the name that the report uses.
type namedPolicy struct {
	name  string
	build func(seed uint64, v masticview.View) policy
}

var policies = []namedPolicy{
	{"roundRobin", newRoundRobin},
	{"leastLoaded", newLeastLoaded},
	{"rendezvousOnly", newRendezvousOnly},
	{"now", newCurrent},
}

// newCurrent returns the scheduler and router that the dispatcher uses.
func newCurrent(seed uint64, v masticview.View) policy {
	s := masticschedule.New(masticroute.New(masticroute.WithSeed(seed)))
	s.SetView(epoch, v)
	return s
}
