package masticcall

// StatedRate is what an answer states of the rate of requests that its backend server takes. The zero
// value states nothing.
type StatedRate struct {
	Kind StatedRateKind
	// RequestsPerSecond is the rate that the server takes from all hosts together, for RateLimited.
	RequestsPerSecond float64
}

// StatedRateKind distinguishes statements.
type StatedRateKind int

// The kinds of statement.
const (
	// RateUnstated is the kind of answers from which nothing follows, such as refusals without a limit.
	RateUnstated StatedRateKind = iota
	// RateUnlimited is the kind of answers that would state a limit if there was one.
	RateUnlimited
	RateLimited
)
