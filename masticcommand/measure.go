package masticcommand

import "masticladder/masticmeasure"

const measureHelp = `Measures the policy in injected time, or a running system over HTTP.

Examples:
  masticladder measure policy --seed 1 --json
  masticladder measure policy --deployment glenmorven

"policy" prints the same bytes for the same seed.

` + exitCodeHelp

type measureCommand struct {
	Policy measurePolicy `command:"policy" description:"Measure the routing policy in injected time"`
}

type measurePolicy struct {
	Seed       uint64 `long:"seed" default:"1" description:"seed of the traffic and of the random candidates"`
	Deployment string `long:"deployment" choice:"association" choice:"glenmorven" description:"one deployment; without it, both"`
	JSON       bool   `long:"json" description:"print JSON"`
}

// Execute runs the policy measurement.
func (m *measurePolicy) Execute([]string) error {
	report, err := masticmeasure.Run(masticmeasure.Options{Seed: m.Seed, Deployment: m.Deployment})
	if err != nil {
		return err
	}
	if m.JSON {
		return report.WriteJSON(output)
	}
	return report.WriteText(output)
}
