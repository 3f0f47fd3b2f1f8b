package masticroute

import (
	"time"

	"masticladder/masticview"
)

const (
	// memoryFullCost is the cost of a request that the engine's memory has no room for: another
	// request is preempted and its prompt computed again.
	memoryFullCost = 600 * time.Millisecond
	// maxMemoryShare is the share of the memory that running requests may take, but for those of the
	// quick class, which may take all of it. The rest also covers what other hosts have sent since
	// their last report.
	maxMemoryShare = 0.85
	// memoryBlockTokens is the unit in which engines assign memory to requests.
	memoryBlockTokens = 16
	// maxOutputGrowth bounds the output tokens for which memory is assumed to be needed: callers state the
	// largest number that they accept, most answers have less than a tenth of it.
	maxOutputGrowth = 2048
)

// heldFor returns the memory that a request needs until its end, in tokens.
func heldFor(promptTokens, outputTokens int64) float64 {
	n := promptTokens + min(max(0, outputTokens), maxOutputGrowth)
	return float64((n + memoryBlockTokens - 1) / memoryBlockTokens * memoryBlockTokens)
}

// heldNow returns the memory that the requests of all hosts on the engine need, in tokens.
func (s *server) heldNow(now time.Time) float64 {
	return s.load.heldTokens + s.load.peersNow(now).heldTokens
}

// memoryFor returns the memory that requests of a class may take together, in tokens.
func (s *server) memoryFor(class masticview.Class) float64 {
	if class == masticview.ClassQuick {
		return s.memoryTokens
	}
	return maxMemoryShare * s.memoryTokens
}

// memoryFullFor reports whether the engine's memory has no room for a request of a class that needs held
// tokens of it.
func (s *server) memoryFullFor(now time.Time, class masticview.Class, held float64) bool {
	return s.memoryTokens > 0 && s.heldNow(now)+held > s.memoryFor(class)
}

// memoryWait returns the predicted time until the engine's memory has room for held tokens more, given the
// time until its present work is prefilled: requests end at an even rate until the last one has decoded.
func (s *server) memoryWait(now time.Time, class masticview.Class, held float64, wait time.Duration) time.Duration {
	total := s.heldNow(now)
	if s.memoryTokens == 0 || total == 0 {
		return 0
	}
	excess := min(max(0, total+held-s.memoryFor(class)), total)
	return time.Duration(excess / total * float64(wait+s.decodeTime()))
}
