package masticmeasure

import "time"

const (
	// measuredFrom is the end of the warm-up; earlier requests are not measured.
	measuredFrom = 60 * time.Second
	// faultAt is when a scenario's fault happens.
	faultAt = 120 * time.Second
	// defaultTrafficEnd is when the last request arrives.
	defaultTrafficEnd = 180 * time.Second
	// engineDowntime, hostDowntime and allHostsDowntime are the times from a crash to the restart.
	engineDowntime   = 2 * time.Second
	hostDowntime     = 5 * time.Second
	allHostsDowntime = 500 * time.Millisecond
	// rareReportInterval is the report interval of each engine when a host polls only 8 of 20 engines per second.
	rareReportInterval = 2500 * time.Millisecond
)

// scenario describes the faults and overload of a run.
type scenario struct {
	name string
	// overRateWorkspace is the workspace that sends overRateFactor times its rate from measuredFrom on, or -1.
	overRateWorkspace int
	// popularityShift makes other members popular at faultAt.
	popularityShift bool
	// engineCrash, hostCrash and allHostsCrash crash one engine, one host or all hosts at faultAt.
	engineCrash, hostCrash, allHostsCrash bool
	// cacheEventLoss is the fraction of cache event batches that are lost, per host.
	cacheEventLoss float64
	// slowEngines is the number of engines that run at a tenth of their speed.
	slowEngines int
	// reportInterval is the time between two load reports of an engine; zero means defaultReportInterval.
	reportInterval time.Duration
	// trafficEnd is when the last request arrives.
	trafficEnd time.Duration
}

const overRateFactor = 5

var scenarios = []scenario{
	{name: "steady", overRateWorkspace: -1, cacheEventLoss: defaultCacheEventLoss},
	{name: "oneTenantFiveTimes", overRateWorkspace: 2, cacheEventLoss: defaultCacheEventLoss},
	{name: "hotPrefixShift", overRateWorkspace: -1, cacheEventLoss: defaultCacheEventLoss, popularityShift: true},
	{name: "engineCrash", overRateWorkspace: -1, cacheEventLoss: defaultCacheEventLoss, engineCrash: true},
	{name: "hostCrash", overRateWorkspace: -1, cacheEventLoss: defaultCacheEventLoss, hostCrash: true},
	{name: "herdRestart", overRateWorkspace: -1, cacheEventLoss: defaultCacheEventLoss, allHostsCrash: true},
	{name: "eventGaps", overRateWorkspace: -1, cacheEventLoss: 0.3},
	{name: "noEvents", overRateWorkspace: -1, cacheEventLoss: 1},
	{name: "noEventsRareReports", overRateWorkspace: -1, cacheEventLoss: 1, reportInterval: rareReportInterval},
	{name: "slowServers", overRateWorkspace: -1, cacheEventLoss: defaultCacheEventLoss, slowEngines: 3},
}
