package masticgossip

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticlimit"
	"masticladder/masticproto"
)

func TestLimitReportRoundTrip(t *testing.T) {
	c := qt.New(t)
	r := masticlimit.Report{
		Host:       "10.0.0.1:7600",
		Statements: []masticlimit.Statement{{Server: "i-1", Incarnation: "7", Version: 3, Limited: true, RequestsPerSecond: 0.5}},
		Demands:    []masticlimit.Demand{{Server: "i-2", PerSecond: 1.5, Held: 2, Returned: 1}},
		Grants:     []masticlimit.Grant{{Server: "i-3", Tokens: 4}},
	}
	c.Assert(decodeLimits(encodeLimits(r)), qt.DeepEquals, r)
}

// TestMalformedRatesAreLeftOut guards against rates that would make arithmetic with them meaningless.
func TestMalformedRatesAreLeftOut(t *testing.T) {
	c := qt.New(t)
	for _, f := range []float64{math.NaN(), math.Inf(1), -1} {
		r := decodeLimits(&masticproto.LimitReport{
			Statements: []*masticproto.RateStatement{{Server: "a", RequestsPerSecond: f}},
			Demands:    []*masticproto.RateDemand{{Server: "a", PerSecond: f}},
		})
		c.Assert(r.Statements, qt.HasLen, 0)
		c.Assert(r.Demands, qt.HasLen, 0)
	}
	r := decodeLimits(&masticproto.LimitReport{
		Demands: []*masticproto.RateDemand{{Held: -1}, {Returned: -1}}, Grants: []*masticproto.RateGrant{{Tokens: -5}},
	})
	c.Assert(r.Demands, qt.HasLen, 0)
	c.Assert(r.Grants, qt.HasLen, 0)
}
