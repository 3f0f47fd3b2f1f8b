package masticcommand

import (
	"context"
	"fmt"
	"time"
)

const statusHelp = `Shows what a host knows of control: leader, term, revision, members, its view lease.

Example:
  masticladder status --admin 127.0.0.1:8601 --json

` + exitCodeHelp

type statusCommand struct{ adminOptions }

// Execute shows the state of control.
func (s *statusCommand) Execute([]string) error {
	status, err := s.client().Status(context.Background())
	if err != nil {
		return err
	}
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
