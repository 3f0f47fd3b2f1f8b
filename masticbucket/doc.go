// Package masticbucket limits workspaces to their rate and burst on sites with many entry hosts, without the
// leader of the control group.
//
// A few entry hosts, the keepers, hold a token bucket each for a fixed part of a workspace's rate and burst.
// Every host charges its requests there. All hosts with the same view find the same keepers without messages.
// Because the parts are fixed, all hosts together stay within the rate and the burst, whichever keepers they
// reach; and because the number of parts does not depend on the number of hosts, a part still holds whole
// requests on a site of hundreds of hosts.
package masticbucket
