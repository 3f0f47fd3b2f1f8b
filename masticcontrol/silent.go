package masticcontrol

import (
	"time"

	"masticladder/masticquorum"
)

// silentSpan is for how long a voter answers nothing before the leader removes it. A machine
// that freezes or loses power for some seconds comes back as it was; one that is gone for
// good has a successor by then. Machines froze for up to 7.7 s in the users' days.
const silentSpan = 10 * time.Second

// silences are the times at which the other members answered last, by identifier. A member
// that has not answered this leader counts from when the leader first looked.
type silences map[string]time.Time

// longest returns the member that has been silent for longest and for more than silentSpan,
// empty for none or where fewer than kept voters answer, this host included.
func (s silences) longest(now time.Time, peers []masticquorum.PeerStatus, kept int) string {
	answering, oldest := 1, ""
	for _, p := range peers {
		since, known := s[p.ID]
		switch {
		case p.Responsive:
			s[p.ID] = now
			if p.Voter {
				answering++
			}
		case !known:
			s[p.ID] = now
		case now.Sub(since) > silentSpan && (oldest == "" || since.Before(s[oldest])):
			oldest = p.ID
		}
	}
	if answering < kept {
		return ""
	}
	return oldest
}

// removeSilent removes the member that has been silent for longest, as long as enough voters
// answer. A host that comes back asks to be a voter again.
func (d *leader) removeSilent(now time.Time) {
	if d.loop.keptVoters == 0 {
		return
	}
	oldest := d.silences.longest(now, d.loop.status.Peers, d.loop.keptVoters)
	if oldest == "" {
		return
	}
	if d.change(now, masticquorum.Change{Kind: masticquorum.ChangeRemove, ID: oldest}, "it has been silent") == nil {
		delete(d.silences, oldest)
	}
}
