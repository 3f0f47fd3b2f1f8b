package masticdispatch

import (
	"time"

	"masticladder/masticschedule"
)

// Run serves until Stop is called.
func (d *Dispatcher) Run() error {
	d.loop()
	return nil
}

// Stop ends Run. It may be called more than once, by one goroutine.
func (d *Dispatcher) Stop(error) {
	select {
	case <-d.stop:
	default:
		close(d.stop)
	}
}

func (d *Dispatcher) loop() {
	defer close(d.stopped)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		select {
		case c := <-d.inbox:
			c.apply(d, time.Now())
		case <-wake.C:
			d.scheduler.Poll(time.Now())
		case <-d.stop:
			return
		}
		d.answer()
		d.setWake(wake)
	}
}

// setWake sets the timer to the scheduler's next poll.
func (d *Dispatcher) setWake(wake *time.Timer) {
	now := time.Now()
	at := d.scheduler.Wake(now)
	if at.IsZero() {
		wake.Stop()
		return
	}
	wake.Reset(at.Sub(now))
}

// answer hands the outcomes to their askers, who always have room for one.
func (d *Dispatcher) answer() {
	for _, o := range d.scheduler.Outcomes() {
		a, ok := d.asking[o.Ticket]
		if !ok {
			continue
		}
		delete(d.asking, o.Ticket)
		d.tell(&o)
		a <- o
	}
}

func (d *Dispatcher) newTicket(answer chan<- masticschedule.Outcome) masticschedule.Ticket {
	d.ticket++
	d.asking[d.ticket] = answer
	return d.ticket
}
