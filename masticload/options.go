package masticload

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of one run.
const (
	maxRequests  = 1_000_000
	maxPerSecond = 10_000
	maxAtOnce    = 1_000
)

// Options say what is sent to the system.
type Options struct {
	// Seeds are IP:port of hosts that are asked for the addresses to use.
	Seeds   []string
	Key     string
	Profile string
	Model   string
	// Requests is the number sent, PerSecond their rate, and AtOnce the most in flight.
	Requests  int
	PerSecond float64
	AtOnce    int
	// SharedBytes of each prompt are one of Prefixes texts; OwnBytes differ for each request.
	SharedBytes  int
	Prefixes     int
	OwnBytes     int
	OutputTokens int
	Stream       bool
	// CheckText compares each answer with that of the stand-in engines.
	CheckText bool
	// TimeoutMillis bounds one request.
	TimeoutMillis int64
	Seed          uint64
}

// withDefaults returns options in which nothing that has a default is missing.
func (o Options) withDefaults() Options {
	o.AtOnce = orDefault(o.AtOnce, 16)
	o.Requests = orDefault(o.Requests, 200)
	o.Prefixes = orDefault(o.Prefixes, 4)
	o.OutputTokens = orDefault(o.OutputTokens, 16)
	o.PerSecond = orDefault(o.PerSecond, 50)
	o.TimeoutMillis = orDefault(o.TimeoutMillis, 60_000)
	return o
}

func orDefault[T int | int64 | float64](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

func (o Options) check() error {
	switch {
	case len(o.Seeds) == 0:
		return eris.New("load: no host is given")
	case o.Requests < 1 || o.Requests > maxRequests:
		return eris.Errorf("load: the number of requests has to be from 1 to %d", maxRequests)
	case !(o.PerSecond > 0 && o.PerSecond <= maxPerSecond):
		return eris.Errorf("load: the rate has to be over 0 and up to %d per second", maxPerSecond)
	case o.AtOnce < 1 || o.AtOnce > maxAtOnce:
		return eris.Errorf("load: the number in flight has to be from 1 to %d", maxAtOnce)
	case o.SharedBytes < 0 || o.OwnBytes < 0 || o.Prefixes < 1 || o.OutputTokens < 1 || o.TimeoutMillis < 1:
		return eris.New("load: sizes and bounds have to be positive")
	}
	for _, s := range o.Seeds {
		if err := checkLoopback(s); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback refuses an address outside this machine.
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

// interval returns the time between two requests.
func (o Options) interval() time.Duration {
	return time.Duration(float64(time.Second) / o.PerSecond)
}
