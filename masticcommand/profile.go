package masticcommand

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

const profileHelp = `Lists, shows and publishes profiles.

Examples:
  masticladder profile list
  masticladder profile show association-review --json
  masticladder profile publish profile.jsonc

A published file is JSON with comments and holds a change:
  {
    "baseRevision": 12,   // revision it was built on; 0 or absent: whichever is current
    "change": {
      "workspaces": [{"name": "w", "owner": "association", "rateTokensPerSecond": 1000, "burstTokens": 200000, "weight": 1}],
      "profiles": [{"name": "p", "workspace": "w", "models": ["saw"], "services": ["stock"], "class": "quick",
                    "firstTokenMillis": 1200, "maxOutputTokens": 512}],
    },
  }

` + exitCodeHelp

type profileCommand struct {
	List    profileList    `command:"list" description:"List profiles"`
	Show    profileShow    `command:"show" description:"Show one profile"`
	Publish profilePublish `command:"publish" description:"Publish a change from a file"`
}

type profileList struct{ adminOptions }

// Execute lists profiles.
func (p *profileList) Execute([]string) error {
	view, err := p.client().View(context.Background())
	if err != nil {
		return err
	}
	rows := make([]string, 0, len(view.Profiles))
	for _, x := range view.Profiles {
		rows = append(rows, profileRow(x))
	}
	return p.table(view.Profiles, "NAME\tWORKSPACE\tMODELS\tSERVICES\tCLASS", rows)
}

func profileRow(x masticview.Profile) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s", x.Name, x.Workspace, strings.Join(x.Models, ","), strings.Join(x.Services, ","), x.Class)
}

type profileShow struct {
	adminOptions
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute shows one profile.
func (p *profileShow) Execute([]string) error {
	view, err := p.client().View(context.Background())
	if err != nil {
		return err
	}
	for _, x := range view.Profiles {
		if x.Name == p.Args.Name {
			return printJSON(x)
		}
	}
	return masticerror.New(masticerror.KindNotFound, "there is no profile %q", p.Args.Name)
}

type profilePublish struct {
	changeOptions
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute publishes a file and waits until the change is in force.
func (p *profilePublish) Execute([]string) error {
	change, err := readChange(p.Args.File)
	if err != nil {
		return err
	}
	if change.RequestId == "" || p.RequestID != "" {
		change.RequestId = p.requestID()
	}
	answer, err := p.client().Publish(context.Background(), change)
	if err != nil {
		return err
	}
	return p.printPublished("published", answer)
}

func readChange(file string) (*masticproto.Publish, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, masticerror.Wrap(err, masticerror.KindBadRequest, "%v", err)
	}
	standard, err := hujson.Standardize(b)
	if err != nil {
		return nil, masticerror.New(masticerror.KindBadRequest, "%s: %v", file, err)
	}
	change := &masticproto.Publish{}
	if err := protojson.Unmarshal(standard, change); err != nil {
		return nil, masticerror.New(masticerror.KindBadRequest, "%s: %v", file, err)
	}
	return change, nil
}
