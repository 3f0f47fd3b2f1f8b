// Package masticrollout decides how the traffic of a service moves to servers of another software version. Traffic
// runs on each host: it places requests by the step in force, within the host's part of the exposure that all hosts
// have together, and counts answers by version. Evidence and Decide run on the leader of the control group: they sum
// what the hosts counted, compare the target version with the others and choose the next step. There is no input or
// output, and times are arguments.
package masticrollout

import "time"

// Bounds limit the requests that a version gets before it is known to be good.
type Bounds struct {
	// ExposureShare and ExposureSlack bound them: the share of the requests of the service from the order to the
	// deadline, plus the slack.
	ExposureShare, ExposureSlack float64
	// RollbackTime is the time from the 50th bad answer after which the version gets no request.
	RollbackTime time.Duration
}

// DefaultBounds are the bounds of installations that state none.
var DefaultBounds = Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}

const (
	// aimFraction is the fraction of the bounds that the leader plans to use.
	aimFraction = 0.5
	// mostFraction is the fraction that it never exceeds. The rest is for requests that hosts count and that end before
	// they reach the service, and for hosts that disagree for a moment about which hosts there are.
	mostFraction = 0.9
)
