package masticcommand

import (
	"fmt"

	"masticladder/masticerror"
	"masticladder/masticload"
	"masticladder/masticmeasure"
)

const measureHelp = `Measures the routing policy on a simulated clock, or a running system over HTTP.

Examples:
  masticladder measure policy --seed 1 --json
  masticladder measure policy --deployment glenmorven

  masticladder measure load --seed-host 127.0.0.1:8600 --key demo-key-association --model saw --requests 200 --at-once 20

"policy" prints the same bytes for the same seed. "load" sends to loopback addresses only, asks the
hosts for the addresses to use, and checks that each answer is complete and belongs to its request.

` + exitCodeHelp

type measureCommand struct {
	Policy measurePolicy `command:"policy" description:"Measure the routing policy on a simulated clock"`
	Load   measureLoad   `command:"load" description:"Measure a running system over HTTP"`
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

type measureLoad struct {
	Hosts       []string `long:"seed-host" default:"127.0.0.1:8600" description:"IP:port of a host that is asked for addresses; may be given several times"`
	Key         string   `long:"key" required:"true" description:"caller's key"`
	Profile     string   `long:"profile" description:"profile to run under"`
	Model       string   `long:"model" default:"saw" description:"model"`
	Requests    int      `long:"requests" default:"200" description:"number of requests"`
	PerSecond   float64  `long:"per-second" default:"50" description:"requests a second"`
	AtOnce      int      `long:"at-once" default:"20" description:"maximum number of requests in flight"`
	SharedBytes int      `long:"shared-bytes" default:"16000" description:"bytes of each prompt that are shared"`
	OwnBytes    int      `long:"own-bytes" default:"4000" description:"bytes of each prompt that are not shared"`
	Prefixes    int      `long:"prefixes" default:"4" description:"number of shared prefixes"`
	Output      int      `long:"output" default:"16" description:"tokens of each answer"`
	Whole       bool     `long:"whole" description:"ask for answers that are not streamed"`
	CheckText   bool     `long:"check-text" description:"compare each answer with that of the stand-in engines"`
	Seed        uint64   `long:"seed" default:"1" description:"seed of the prompts"`
	Plot        string   `long:"plot" description:"file for a plot in SVG"`
	JSON        bool     `long:"json" description:"print JSON"`
}

// Execute sends load to a running system and reports the results.
func (m *measureLoad) Execute([]string) error {
	report, err := masticload.Run(masticload.Options{
		Seeds:        m.Hosts,
		Key:          m.Key,
		Profile:      m.Profile,
		Model:        m.Model,
		Requests:     m.Requests,
		PerSecond:    m.PerSecond,
		AtOnce:       m.AtOnce,
		SharedBytes:  m.SharedBytes,
		OwnBytes:     m.OwnBytes,
		Prefixes:     m.Prefixes,
		OutputTokens: m.Output,
		Stream:       !m.Whole,
		CheckText:    m.CheckText,
		Seed:         m.Seed,
	})
	if err != nil {
		return err
	}
	if m.Plot != "" {
		if err := report.WritePlot(m.Plot); err != nil {
			return err
		}
	}
	if err := m.print(report); err != nil {
		return err
	}
	if report.Failed() {
		return masticerror.New(masticerror.KindInternal, "an answer was broken or lost")
	}
	return nil
}

func (m *measureLoad) print(r masticload.Report) error {
	if m.JSON {
		return printJSON(r)
	}
	_, err := fmt.Fprint(output, r.Text())
	return err
}
