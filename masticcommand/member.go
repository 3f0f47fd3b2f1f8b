package masticcommand

import (
	"context"
	"fmt"
)

const memberHelp = `Changes which hosts keep the replicated log.

Examples:
  masticladder member add --host lj3-b --peer 127.0.0.3:8602           # as a learner
  masticladder member add --host lj3-b --peer 127.0.0.3:8602 --voter   # promotes it once it has caught up
  masticladder member remove lj3-a

A host that lost its data folder is removed, added as a learner and promoted. One change runs at a time.

` + exitCodeHelp

type memberCommand struct {
	Add    memberAdd    `command:"add" description:"Add a learner or promote it to voter"`
	Remove memberRemove `command:"remove" description:"Remove a member"`
}

type memberAdd struct {
	adminOptions
	Host  string `long:"host" required:"true" description:"the host's name"`
	Peer  string `long:"peer" required:"true" description:"IP:port for other hosts"`
	Voter bool   `long:"voter" description:"make it a voter"`
}

// Execute adds or promotes a member.
func (m *memberAdd) Execute([]string) error {
	if err := m.client().PutMember(context.Background(), m.Host, m.Peer, m.Voter); err != nil {
		return err
	}
	fmt.Fprintf(output, "member %s\n", m.Host)
	return nil
}

type memberRemove struct {
	adminOptions
	Args struct {
		Host string `positional-arg-name:"HOST" required:"true"`
	} `positional-args:"true"`
}

// Execute removes a member.
func (m *memberRemove) Execute([]string) error {
	if err := m.client().RemoveMember(context.Background(), m.Args.Host); err != nil {
		return err
	}
	fmt.Fprintf(output, "removed %s\n", m.Args.Host)
	return nil
}
