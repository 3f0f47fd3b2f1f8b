// Package masticmeasure measures the routing policy in injected time, against a small
// stand-in for the engines. The same seed gives the same report.
package masticmeasure

import (
	"fmt"
	"time"

	"masticladder/masticview"
)

// deployment is the size of one owner's site.
type deployment struct {
	name    string
	zones   int
	hosts   int
	engines int
	// hop is the time of one message between two hosts.
	hop time.Duration
	// longRate and quickRate are the requests a second of each class.
	longRate, quickRate float64
	// shares are the parts of the workspaces in the traffic.
	shares []float64
}

var (
	association = deployment{
		name: "association", zones: 3, hosts: 8, engines: 20, hop: time.Millisecond,
		longRate: 12, quickRate: 8, shares: []float64{0.40, 0.30, 0.15, 0.10, 0.05},
	}
	glenmorven = deployment{
		name: "glenmorven", zones: 4, hosts: 7, engines: 10, hop: 500 * time.Microsecond,
		longRate: 6, quickRate: 4, shares: []float64{0.40, 0.30, 0.15, 0.10, 0.05},
	}
)

const (
	modelName      = "model"
	weightsVersion = "v1"
	// engineCacheTokens is the cache of one engine.
	engineCacheTokens = 400_000
	// engineSlots is the number of requests that an engine decodes at once.
	engineSlots = 24
	// tokenTime is the time between two tokens of a stream.
	tokenTime = 20 * time.Millisecond
	// firstTokenTime is the engine's work for the first token beside the prefill.
	firstTokenTime = 10 * time.Millisecond
	// reportInterval and reportLag are those of an engine's load reports.
	reportInterval = 250 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	// eventInterval and eventLag are those of an engine's cache events.
	eventInterval = 200 * time.Millisecond
	eventLag      = 500 * time.Millisecond
	// eventLoss is the share of event batches lost.
	eventLoss = 0.01
	// probeInterval is how often each host probes each engine.
	probeInterval = 500 * time.Millisecond
)

// prefillSpeeds are the speeds of the engines by turns, in tokens per second.
var prefillSpeeds = []float64{6000, 10000, 16000, 24000}

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
