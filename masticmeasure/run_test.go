package masticmeasure

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	print          = flag.Bool("print", false, "print the full report")
	seed           = flag.Uint64("seed", 1, "the seed of the printed report")
	policyName     = flag.String("policy", "", "print one policy")
	deploymentName = flag.String("deployment", "", "print one deployment")
	scenarioName   = flag.String("scenario", "", "print one scenario")
)

func TestSameSeedSameBytes(t *testing.T) {
	c := qt.New(t)
	var out [2]bytes.Buffer
	for i := range out {
		r, err := Run(Options{Seed: 1, Deployment: "glenmorven", Scenario: "steady", Policy: "now", trafficEnd: measuredFrom + 10*time.Second})
		c.Assert(err, qt.IsNil)
		c.Assert(r.WriteJSON(&out[i]), qt.IsNil)
		c.Assert(r.WriteText(&out[i]), qt.IsNil)
	}
	c.Assert(out[0].String(), qt.Equals, out[1].String())
}

func TestPrint(t *testing.T) {
	if !*print {
		t.Skip("only with -print")
	}
	r, err := Run(Options{Seed: *seed, Scenario: *scenarioName, Policy: *policyName, Deployment: *deploymentName})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.WriteText(os.Stdout), qt.IsNil)
}
