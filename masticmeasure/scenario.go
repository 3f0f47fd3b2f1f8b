package masticmeasure

import "time"

const (
	// measuredFrom ends the warm-up.
	measuredFrom = 60 * time.Second
	// faultAt is when a scenario's fault happens.
	faultAt = 120 * time.Second
	// trafficUntil is when the last request comes.
	trafficUntil = 180 * time.Second
	// engineDown, hostDown and herdDown are how long what crashed stays away.
	engineDown = 2 * time.Second
	hostDown   = 5 * time.Second
	herdDown   = 500 * time.Millisecond
	// rareReports is the interval of a host that asks 8 of 20 engines a second.
	rareReports = 2500 * time.Millisecond
)

// scenario is one course of faults.
type scenario struct {
	name string
	// loud is the workspace that sends loudFactor times its rate from measuredFrom on, or -1.
	loud int
	// shift reports that other members become popular at faultAt.
	shift bool
	// engineCrash, hostCrash and herd report a crash of one engine, one host, all hosts at faultAt.
	engineCrash, hostCrash, herd bool
	// loss is the share of event batches lost.
	loss float64
	// slow is the number of engines with a tenth of their speed.
	slow int
	// reportEvery is the time between two load reports of an engine; zero is reportInterval.
	reportEvery time.Duration
	// until is when the last request comes.
	until time.Duration
}

const loudFactor = 5

var scenarios = []scenario{
	{name: "steady", loud: -1, loss: eventLoss},
	{name: "oneTenantFiveTimes", loud: 2, loss: eventLoss},
	{name: "hotPrefixShift", loud: -1, loss: eventLoss, shift: true},
	{name: "engineCrash", loud: -1, loss: eventLoss, engineCrash: true},
	{name: "hostCrash", loud: -1, loss: eventLoss, hostCrash: true},
	{name: "herdRestart", loud: -1, loss: eventLoss, herd: true},
	{name: "eventGaps", loud: -1, loss: 0.3},
	{name: "noEvents", loud: -1, loss: 1},
	{name: "noEventsRareReports", loud: -1, loss: 1, reportEvery: rareReports},
	{name: "slowServers", loud: -1, loss: eventLoss, slow: 3},
}
