package masticroute

import "time"

const (
	// saveShare is the share of a store's link that saves may take, over all hosts. Saving
	// each prompt took 1.2 times the link of a store at the users' usual load: saves and
	// fetches were not started any more, and prompts were read again.
	saveShare = 0.25
	// saveBurst is how long a host may save up what it does not use.
	saveBurst = 4 * time.Second
)

// saves bounds what this host has engines save to stores, in tokens.
type saves struct {
	// rate is what the links of the stores carry, in tokens per second.
	rate float64
	// hosts are the other hosts by their last report: the rate is shared.
	hosts map[string]time.Time
	left  float64
	at    time.Time
}

// heard notes a report of another host.
func (s *saves) heard(now time.Time, host string) {
	if s.hosts == nil {
		s.hosts = map[string]time.Time{}
	}
	s.hosts[host] = now
}

// allow reports whether one more prompt may be saved.
func (s *saves) allow(now time.Time) bool {
	s.refill(now)
	return s.left > 0
}

// take counts a prompt that is saved; the bucket may go below zero for a while.
func (s *saves) take(now time.Time, tokens float64) {
	s.refill(now)
	s.left -= tokens
}

func (s *saves) refill(now time.Time) {
	n := 1.0
	for host, at := range s.hosts {
		if now.Sub(at) > hostAge {
			delete(s.hosts, host)
			continue
		}
		n++
	}
	own := saveShare * s.rate / n
	s.left = min(own*saveBurst.Seconds(), s.left+own*now.Sub(s.at).Seconds())
	s.at = now
}

// hostAge is after how long without a report a host is taken to be gone. A host without
// work reports nothing.
const hostAge = 10 * time.Second
