// Package masticmeasure compares routing policies in a discrete-event simulation with
// injected time and simulated engines. The same seed gives the same report.
package masticmeasure

import (
	"fmt"
	"time"

	"masticladder/masticview"
)

// deployment is the size and traffic of one owner's site.
type deployment struct {
	name    string
	zones   int
	hosts   int
	engines int
	// hopDelay is the network delay of one message.
	hopDelay time.Duration
	// longRate and quickRate are the requests per second of each class.
	longRate, quickRate float64
	// shares are the fractions of the traffic that each workspace sends.
	shares []float64
}

var (
	association = deployment{
		name: "association", zones: 3, hosts: 8, engines: 20, hopDelay: time.Millisecond,
		longRate: 12, quickRate: 8, shares: []float64{0.40, 0.30, 0.15, 0.10, 0.05},
	}
	glenmorven = deployment{
		name: "glenmorven", zones: 4, hosts: 7, engines: 10, hopDelay: 500 * time.Microsecond,
		longRate: 6, quickRate: 4, shares: []float64{0.40, 0.30, 0.15, 0.10, 0.05},
	}
)

const (
	modelName      = "model"
	weightsVersion = "v1"
	// engineCacheTokens is the cache capacity of one engine.
	engineCacheTokens = 400_000
	// engineSlots is the number of requests that an engine processes concurrently, in
	// started prefill or decoding.
	engineSlots = 24
	// tokenInterval is the time between two tokens of a stream.
	tokenInterval = 20 * time.Millisecond
	// firstTokenDelay is the time from the end of prefill to the first token.
	firstTokenDelay = 10 * time.Millisecond
	// An engine's load is sampled every defaultReportInterval and reaches the hosts after reportDelay.
	defaultReportInterval = 250 * time.Millisecond
	reportDelay           = 200 * time.Millisecond
	// An engine's cache events are batched every cacheEventInterval and reach the hosts after cacheEventDelay.
	cacheEventInterval = 200 * time.Millisecond
	cacheEventDelay    = 500 * time.Millisecond
	// defaultCacheEventLoss is the fraction of cache event batches that are lost, per host.
	defaultCacheEventLoss = 0.01
	// probeInterval is how often each host probes each engine.
	probeInterval = 500 * time.Millisecond
)

// prefillTokensPerSecond are the prefill speeds, assigned to the engines in rotation.
var prefillTokensPerSecond = []float64{6000, 10000, 16000, 24000}

func (d deployment) view() masticview.View {
	var v masticview.View
	for i := range d.hosts {
		v = v.WithHost(masticview.Host{
			Name: fmt.Sprintf("host%02d", i), Address: hostAddress(i),
			Zone: fmt.Sprintf("zone%d", i%d.zones), Weight: int64(1 + i%2), State: masticview.HostLive,
		})
	}
	for i := range d.engines {
		v = v.WithServer(masticview.Server{
			Name: engineName(i), Kind: masticview.ServerEngine, Zone: fmt.Sprintf("zone%d", i%d.zones),
			Models: []string{modelName}, WeightsVersion: weightsVersion, State: masticview.ServerActive,
		})
	}
	return v
}

func hostAddress(i int) string { return fmt.Sprintf("10.0.0.%d:8080", i) }

func engineName(i int) string { return fmt.Sprintf("engine%02d", i) }

func workspaceName(i int) string { return fmt.Sprintf("workspace%d", i) }
