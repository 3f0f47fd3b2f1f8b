package masticcommand

import (
	"context"
	"fmt"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

const statusHelp = `Shows the state of the control group as a host knows it: leader, term, revision, members and the
host's view lease.

Examples:
  masticladder status --admin 127.0.0.1:8601 --json
  masticladder status --wait 10

` + exitCodeHelp

// statusPollInterval is the time between two status requests of --wait.
const statusPollInterval = 100 * time.Millisecond

type statusCommand struct {
	adminOptions
	Wait int `long:"wait" description:"wait up to this many seconds until the host holds a view lease"`
}

// Execute shows the state of the control group.
func (s *statusCommand) Execute([]string) error {
	status, err := s.fetch()
	for deadline := time.Now().Add(time.Duration(s.Wait) * time.Second); time.Now().Before(deadline); {
		if err == nil && time.Now().Before(status.LeaseUntil) {
			break
		}
		time.Sleep(statusPollInterval)
		status, err = s.fetch()
	}
	if err != nil {
		return err
	}
	if s.Wait > 0 && !time.Now().Before(status.LeaseUntil) {
		return masticerror.New(masticerror.KindNoLease, "%s holds no view lease", status.Host)
	}
	return s.print(status)
}

func (s *statusCommand) fetch() (masticcall.ControlStatus, error) {
	return s.client().Status(context.Background())
}

func (s *statusCommand) print(status masticcall.ControlStatus) error {
	if s.JSON {
		return printJSON(status)
	}
	fmt.Fprintf(output, "host %s\nleader %s\nterm %d\ncommit %d\nrevision %d\nactive leases %d\nlease until %s\n",
		status.Host, status.Leader, status.Term, status.Commit, status.Revision, status.ActiveLeases,
		status.LeaseUntil.Format(time.RFC3339Nano))
	for _, m := range status.Members {
		fmt.Fprintf(output, "member %s %s voter=%t\n", m.Host, m.Address, m.Voter)
	}
	return nil
}
