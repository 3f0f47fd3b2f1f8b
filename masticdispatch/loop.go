package masticdispatch

import (
	"time"

	"masticladder/masticschedule"
)

// Run processes commands until Stop is called.
func (d *Dispatcher) Run() error {
	d.loop()
	return nil
}

// Stop ends Run. It may be called more than once, but not concurrently.
func (d *Dispatcher) Stop(error) {
	select {
	case <-d.stop:
	default:
		close(d.stop)
	}
}

func (d *Dispatcher) loop() {
	defer close(d.stopped)
	pollTimer := time.NewTimer(time.Hour)
	defer pollTimer.Stop()
	for {
		var now time.Time
		select {
		case c := <-d.inbox:
			now = time.Now()
			c.apply(d, now)
		case <-pollTimer.C:
			now = time.Now()
			d.scheduler.Poll(now)
		case <-d.stop:
			return
		}
		d.deliverOutcomes(now)
		d.resetPollTimer(pollTimer)
	}
}

// resetPollTimer sets the timer to the scheduler's next poll, or stops it if none is due.
func (d *Dispatcher) resetPollTimer(pollTimer *time.Timer) {
	now := time.Now()
	at := d.scheduler.NextPoll(now)
	if at.IsZero() {
		pollTimer.Stop()
		return
	}
	pollTimer.Reset(at.Sub(now))
}

// deliverOutcomes sends the outcomes, decided at now, to their waiters. Each reply channel has room for one, so
// this never blocks.
func (d *Dispatcher) deliverOutcomes(now time.Time) {
	for _, o := range d.scheduler.Outcomes() {
		o.At = now
		waiter, ok := d.waiters[o.Ticket]
		if !ok {
			continue
		}
		delete(d.waiters, o.Ticket)
		d.signalIfLongPrompt(&o)
		d.placements.add(&o)
		waiter <- o
	}
}

func (d *Dispatcher) newTicket(reply chan<- masticschedule.Outcome) masticschedule.Ticket {
	d.ticket++
	d.waiters[d.ticket] = reply
	return d.ticket
}
