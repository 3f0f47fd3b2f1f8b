package masticcommand

import (
	"context"
	"fmt"
	"time"

	"masticladder/masticadmin"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const rolloutHelp = `Moves the traffic of a service to backend servers of another software version, and shows how far
that is. The version is tried with few requests; it is rolled back if it is worse than the old one, or not proven
good by the deadline.

Examples:
  masticladder rollout start --service huvo --target v2 --deadline 600 --wait
  masticladder rollout status --service huvo

` + exitCodeHelp

// rolloutPollInterval is the time between two requests of the state while a command waits.
const rolloutPollInterval = 500 * time.Millisecond

type rolloutCommand struct {
	Start  rolloutStart  `command:"start" description:"Order a rollout"`
	Status rolloutStatus `command:"status" description:"Show the last rollout of a service"`
}

type rolloutOptions struct {
	adminOptions
	Service string `long:"service" required:"true" description:"service whose traffic moves"`
	Wait    bool   `long:"wait" description:"show each step until the rollout has ended"`
}

type rolloutStart struct {
	rolloutOptions
	Target   string  `long:"target" required:"true" description:"software version"`
	Deadline float64 `long:"deadline" required:"true" description:"seconds within which the rollout ends"`
}

// Execute orders a rollout.
func (r *rolloutStart) Execute([]string) error {
	o := masticadmin.RolloutOrder{Service: r.Service, Target: r.Target, DeadlineMillis: int64(r.Deadline * 1000)}
	if err := r.client().OrderRollout(context.Background(), o); err != nil {
		return err
	}
	return r.show()
}

type rolloutStatus struct{ rolloutOptions }

// Execute shows the last rollout of a service.
func (r *rolloutStatus) Execute([]string) error { return r.show() }

// show prints the rollout, and with --wait each of its steps. A rollout that was rolled back is an error then.
func (o rolloutOptions) show() error {
	last := uint64(0)
	for {
		rollout, err := o.client().Rollout(context.Background(), o.Service)
		if err != nil {
			return err
		}
		if rollout.Sequence != last {
			last = rollout.Sequence
			if err := o.print(rollout); err != nil {
				return err
			}
		}
		switch {
		case !o.Wait:
			return nil
		case rollout.Step == masticview.RolloutRolledBack:
			return masticerror.New(masticerror.KindConflict, "rolled back: %s", rollout.Reason)
		case rollout.Step.Final():
			return nil
		}
		time.Sleep(rolloutPollInterval)
	}
}

func (o rolloutOptions) print(r masticview.Rollout) error {
	if o.JSON {
		return printJSON(r)
	}
	_, err := fmt.Fprintf(output, "%s %s to %s: %s, share %.1f %%, %s; deadline %s\n", r.StepAt.Format(time.TimeOnly), r.Service, r.Target,
		r.Step, 100*float64(r.Share)/masticview.WholeShare, r.Reason, r.Deadline.Format(time.TimeOnly))
	return err
}
