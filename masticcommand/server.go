package masticcommand

import (
	"context"
	"fmt"
	"strings"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const serverHelp = `Lists, adds and retires backend servers.

Examples:
  masticladder server list
  masticladder server add --name engine-1 --url http://127.0.0.1:9001 --owner association --zone lj1 --model saw
  masticladder server add --name orders-1 --kind service --url http://127.0.0.1:9100 --owner glenmorven --zone gm1
  masticladder server retire engine-1

A retired backend server gets no new requests; those that run on it are finished.

` + exitCodeHelp

type serverCommand struct {
	List   serverList   `command:"list" description:"List backend servers"`
	Add    serverAdd    `command:"add" description:"Add or change a backend server"`
	Retire serverRetire `command:"retire" description:"Retire a backend server"`
}

type serverList struct{ adminOptions }

// Execute lists backend servers.
func (s *serverList) Execute([]string) error {
	view, err := s.client().View(context.Background())
	if err != nil {
		return err
	}
	rows := make([]string, 0, len(view.Servers))
	for _, x := range view.Servers {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", x.Name, x.Kind, x.URL, x.Owner, x.Zone, strings.Join(x.Models, ","), x.State))
	}
	return s.table(view.Servers, "NAME\tKIND\tURL\tOWNER\tZONE\tMODELS\tSTATE", rows)
}

type serverAdd struct {
	changeOptions
	Name           string   `long:"name" required:"true" description:"the backend server's name"`
	Kind           string   `long:"kind" default:"engine" choice:"engine" choice:"service" description:"model engine or plain service"`
	URL            string   `long:"url" required:"true" description:"base address, scheme://IP:port"`
	Owner          string   `long:"owner" required:"true" description:"owner"`
	Zone           string   `long:"zone" description:"availability zone"`
	Models         []string `long:"model" description:"model that the engine serves; may be given several times"`
	WeightsVersion string   `long:"weights-version" description:"version of the weights"`
	ChecksFencing  bool     `long:"checks-fencing" description:"the engine refuses requests with an outdated fencing token"`
}

// Execute adds or changes a backend server.
func (s *serverAdd) Execute([]string) error {
	item := &masticproto.Server{
		Name:           s.Name,
		Kind:           s.Kind,
		Url:            s.URL,
		Owner:          s.Owner,
		Zone:           s.Zone,
		Models:         s.Models,
		WeightsVersion: s.WeightsVersion,
		ChecksFencing:  s.ChecksFencing,
		State:          string(masticview.ServerActive),
	}
	p, err := s.publish(&masticproto.ViewChange{Servers: []*masticproto.Server{item}})
	if err != nil {
		return err
	}
	return s.printPublished("added "+s.Name, p)
}

type serverRetire struct {
	changeOptions
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute retires a backend server.
func (s *serverRetire) Execute([]string) error {
	p, err := s.client().RetireServer(context.Background(), s.requestID(), s.Args.Name)
	if err != nil {
		return err
	}
	return s.printPublished("retired "+s.Args.Name, p)
}
