package masticbucket

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

func viewHosts(n int, state masticview.HostState) []masticview.Host {
	var hosts []masticview.Host
	for i := range n {
		name := fmt.Sprint(state, i)
		hosts = append(hosts, masticview.Host{Name: name, Address: name, Peer: name, Zone: "z", Weight: 2, State: state})
	}
	return hosts
}

// TestLostHostsChangeWhoAdmits: hosts that are lost must not move the quotas from the keepers back to the leader, which would give out
// the burst once more.
func TestLostHostsChangeWhoAdmits(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewDivision(viewHosts(minHosts-1, masticview.HostLive)), qt.IsNil)
	c.Assert(NewDivision(viewHosts(minHosts, masticview.HostLive)), qt.IsNotNil)
	mixed := append(viewHosts(2, masticview.HostLive), viewHosts(minHosts, masticview.HostLost)...)
	c.Assert(NewDivision(mixed).Keepers("w"), qt.HasLen, 2)
	c.Assert(NewDivision(append(viewHosts(2, masticview.HostLive), viewHosts(minHosts, masticview.HostRetired)...)), qt.IsNil)
}

// TestKeepersAreStrongAndSpread checks that weak hosts keep no quotas, that the keepers of a workspace are few, and that those of all workspaces
// are at most maxKeepers.
func TestKeepersAreStrongAndSpread(t *testing.T) {
	c := qt.New(t)
	hosts := viewHosts(40, masticview.HostLive)
	for i := range 20 {
		hosts[i].Weight = 7
	}
	d := NewDivision(hosts)
	all := map[string]bool{}
	for i := range 200 {
		keepers := d.Keepers(fmt.Sprint("w", i))
		c.Assert(keepers, qt.HasLen, parts)
		for _, h := range keepers {
			all[h.Name] = true
		}
	}
	c.Assert(all, qt.HasLen, maxKeepers)
	for _, h := range hosts[20:] {
		c.Assert(all[h.Name], qt.IsFalse)
	}
}
