package masticcommand

import (
	"context"
	"fmt"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const hostHelp = `Lists, adds and retires hosts of the system.

Examples:
  masticladder host list --json
  masticladder host add --name lj2-b --address 127.0.0.2:8600 --peer 127.0.0.2:8602 --zone lj2 --owner association
  masticladder host retire lj2-b

A running host adds itself; "add" registers one beforehand or changes its weight.
A retired host is left out of the address list and is told to drain.

` + exitCodeHelp

type hostCommand struct {
	List   hostList   `command:"list" description:"List hosts"`
	Add    hostAdd    `command:"add" description:"Add or change a host"`
	Retire hostRetire `command:"retire" description:"Retire a host"`
}

type hostList struct{ adminOptions }

// Execute lists hosts.
func (h *hostList) Execute([]string) error {
	view, err := h.client().View(context.Background())
	if err != nil {
		return err
	}
	rows := make([]string, 0, len(view.Hosts))
	for _, x := range view.Hosts {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s", x.Name, x.Address, x.Zone, x.Owner, x.Weight, x.State))
	}
	return h.table(view.Hosts, "NAME\tADDRESS\tZONE\tOWNER\tWEIGHT\tSTATE", rows)
}

type hostAdd struct {
	changeOptions
	Name      string `long:"name" required:"true" description:"the host's name"`
	Address   string `long:"address" required:"true" description:"IP:port for callers"`
	HostAdmin string `long:"host-admin" description:"IP:port of the host for operators"`
	Peer      string `long:"peer" description:"IP:port for other hosts"`
	Zone      string `long:"zone" required:"true" description:"availability zone"`
	Owner     string `long:"owner" required:"true" description:"owner"`
	Weight    int64  `long:"weight" default:"1" description:"share of callers relative to other hosts"`
}

// Execute adds or changes a host.
func (h *hostAdd) Execute([]string) error {
	item := &masticproto.Host{
		Name:    h.Name,
		Address: h.Address,
		Admin:   h.HostAdmin,
		Peer:    h.Peer,
		Zone:    h.Zone,
		Owner:   h.Owner,
		Weight:  h.Weight,
		State:   string(masticview.HostLive),
	}
	p, err := h.publish(&masticproto.ViewChange{Hosts: []*masticproto.Host{item}})
	if err != nil {
		return err
	}
	return h.printPublished("added "+h.Name, p)
}

type hostRetire struct {
	changeOptions
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute retires a host.
func (h *hostRetire) Execute([]string) error {
	p, err := h.client().RetireHost(context.Background(), h.requestID(), h.Args.Name)
	if err != nil {
		return err
	}
	return h.printPublished("retired "+h.Args.Name, p)
}
