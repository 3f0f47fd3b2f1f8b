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
		select {
		case c := <-d.inbox:
			c.apply(d, time.Now())
		case <-pollTimer.C:
			d.scheduler.Poll(time.Now())
		case <-d.stop:
			return
		}
		d.deliverOutcomes()
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

// deliverOutcomes sends the outcomes to their waiters. Each reply channel has room for one, so
// this never blocks.
func (d *Dispatcher) deliverOutcomes() {
	for _, o := range d.scheduler.Outcomes() {
		waiter, ok := d.waiters[o.Ticket]
		if !ok {
			continue
		}
		delete(d.waiters, o.Ticket)
		d.signalIfLongPrompt(&o)
		waiter <- o
	}
}

func (d *Dispatcher) newTicket(reply chan<- masticschedule.Outcome) masticschedule.Ticket {
	d.ticket++
	d.waiters[d.ticket] = reply
	return d.ticket
}
