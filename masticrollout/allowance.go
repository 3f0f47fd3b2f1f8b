package masticrollout

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticview"
)

// partSteps is the number of halvings in which the division of an allowance is found.
const partSteps = 50

// partOf returns a host's part of the allowance of a rollout, by the weights of the hosts that serve callers. The parts
// are whole numbers, add up to the allowance at most and never decrease as it grows, so that the same requests are not
// granted twice.
func partOf(host string, r masticview.Rollout, hosts []masticview.Host) int64 {
	own := -1
	var entries []entryHost
	total := 0.0
	for _, h := range hosts {
		if h.Address == "" || h.State == masticview.HostRetired {
			continue
		}
		if h.Name == host {
			own = len(entries)
		}
		x := newEntryHost(h, r)
		entries = append(entries, x)
		total += x.weight
	}
	if own < 0 || r.Allowance <= 0 {
		return 0
	}
	low, high := 0.0, 2*float64(r.Allowance)/total
	for range partSteps {
		middle := (low + high) / 2
		sum := int64(0)
		for _, h := range entries {
			sum += h.partAt(middle)
		}
		if sum > r.Allowance {
			high = middle
		} else {
			low = middle
		}
	}
	return entries[own].partAt(low)
}

// entryHost is a host among which an allowance is divided. The offset, from 0 to 1, differs by host and rollout, so that
// hosts get their requests one after the other.
type entryHost struct{ weight, offset float64 }

func newEntryHost(h masticview.Host, r masticview.Rollout) entryHost {
	hash := xxhash.Sum64String(fmt.Sprint(r.Service, "\x00", r.FirstSequence, "\x00", h.Name))
	return entryHost{weight: float64(max(1, h.Weight)), offset: float64(hash>>11) / (1 << 53)}
}

// partAt returns the host's part for a number of requests per weight.
func (h entryHost) partAt(perWeight float64) int64 { return int64(perWeight*h.weight + h.offset) }
