package masticload

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of the options.
const (
	maxRequests  = 1_000_000
	maxPerSecond = 10_000
	maxInFlight  = 1_000
)

// Options configure a run.
type Options struct {
	// Seeds are the IP:port of hosts from which the host list is fetched.
	Seeds   []string
	Key     string
	Profile string
	Model   string
	// Requests is the number of requests, PerSecond their rate, and AtOnce the maximum number in flight.
	Requests  int
	PerSecond float64
	AtOnce    int
	// Each prompt starts with SharedBytes of one of Prefixes texts and ends with OwnBytes of a
	// text that is unique to the request.
	SharedBytes  int
	Prefixes     int
	OwnBytes     int
	OutputTokens int
	Stream       bool
	// CheckText compares each answer with the text that the fake engines of masticfake generate.
	CheckText bool
	// TimeoutMillis is the timeout of one HTTP request.
	TimeoutMillis int64
	Seed          uint64
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.AtOnce = orDefault(o.AtOnce, 16)
	o.Requests = orDefault(o.Requests, 200)
	o.Prefixes = orDefault(o.Prefixes, 4)
	o.OutputTokens = orDefault(o.OutputTokens, 16)
	o.PerSecond = orDefault(o.PerSecond, 50)
	o.TimeoutMillis = orDefault(o.TimeoutMillis, 60_000)
	return o
}

func orDefault[T int | int64 | float64](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

func (o Options) validate() error {
	switch {
	case len(o.Seeds) == 0:
		return eris.New("load: no seed host is given")
	case o.Requests < 1 || o.Requests > maxRequests:
		return eris.Errorf("load: number of requests must be between 1 and %d", maxRequests)
	case !(o.PerSecond > 0 && o.PerSecond <= maxPerSecond):
		return eris.Errorf("load: rate must be above 0 and at most %d requests per second", maxPerSecond)
	case o.AtOnce < 1 || o.AtOnce > maxInFlight:
		return eris.Errorf("load: number of requests in flight must be between 1 and %d", maxInFlight)
	case o.SharedBytes < 0 || o.OwnBytes < 0 || o.Prefixes < 1 || o.OutputTokens < 1 || o.TimeoutMillis < 1:
		return eris.New("load: byte sizes must not be negative; prefixes, output tokens and timeout must be positive")
	}
	for _, s := range o.Seeds {
		if err := checkLoopback(s); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback returns an error unless address is the IP:port of a loopback address.
func checkLoopback(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Wrapf(err, "load: %q is not IP:port", address)
	}
	if !a.Addr().Unmap().IsLoopback() {
		return eris.Errorf("load: %s is not a loopback address", address)
	}
	return nil
}

// requestInterval returns the time between the starts of two requests.
func (o Options) requestInterval() time.Duration {
	return time.Duration(float64(time.Second) / o.PerSecond)
}
