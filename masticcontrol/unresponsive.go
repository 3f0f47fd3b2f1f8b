package masticcontrol

import (
	"time"

	"masticladder/masticquorum"
)

// removeUnresponsive removes the member that has been unresponsive for the longest time, as long
// as enough voters remain. A host that comes back asks to be a voter again.
func (d *leaderState) removeUnresponsive(now time.Time) {
	if d.loop.minVoters == 0 {
		return
	}
	id := d.loop.core.UnresponsiveMember(now, d.loop.minVoters)
	if id == "" {
		return
	}
	_ = d.proposeMemberChange(now, masticquorum.Change{Kind: masticquorum.ChangeRemove, ID: id}, "the member is unresponsive")
}
