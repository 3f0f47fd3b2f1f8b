package masticcontrol

import (
	"time"

	"masticladder/masticquorum"
)

// silentSpan is for how long a voter answers nothing before the leader removes it. A machine
// that freezes or loses power for some seconds comes back as it was; one that is gone for
// good has a successor by then. Machines froze for up to 7.7 s in the users' days.
const silentSpan = 10 * time.Second

// removeSilent removes the voter that has been silent for longest, as long as enough others
// answer. A host that comes back asks to be a voter again.
func (d *leader) removeSilent(now time.Time) {
	if d.loop.spareVoters == 0 {
		return
	}
	answering, oldest := 1, ""
	for _, p := range d.loop.status.Peers {
		since, known := d.silentSince[p.ID]
		switch {
		case p.Responsive || !known:
			d.silentSince[p.ID] = now
			if p.Voter {
				answering++
			}
		case now.Sub(since) > silentSpan && (oldest == "" || since.Before(d.silentSince[oldest])):
			oldest = p.ID
		}
	}
	if oldest == "" || answering < d.loop.spareVoters {
		return
	}
	if d.change(now, masticquorum.Change{Kind: masticquorum.ChangeRemove, ID: oldest}, "it has been silent") == nil {
		delete(d.silentSince, oldest)
	}
}
