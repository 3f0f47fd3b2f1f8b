package masticcommand

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/google/uuid"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const keyHelp = `Lists, issues and withdraws callers' keys.

Examples:
  masticladder key list --json
  masticladder key issue --workspace association --profile association-review
  masticladder key withdraw key-1b9d6bcd

This command generates the secret of a key and prints it once; the hosts get only its SHA-256 digest.
"withdraw" returns once the withdrawal is in force on every host.

` + exitCodeHelp

// secretBytes is the length of a key's secret before base64 encoding.
const secretBytes = 32

type keyCommand struct {
	List     keyList     `command:"list" description:"List keys"`
	Issue    keyIssue    `command:"issue" description:"Issue a key"`
	Withdraw keyWithdraw `command:"withdraw" description:"Withdraw a key"`
}

type keyList struct{ adminOptions }

// Execute lists keys.
func (k *keyList) Execute([]string) error {
	view, err := k.client().View(context.Background())
	if err != nil {
		return err
	}
	rows := make([]string, 0, len(view.Keys))
	for _, x := range view.Keys {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", x.ID, x.Workspace, x.Profile, x.State))
	}
	return k.table(view.Keys, "ID\tWORKSPACE\tPROFILE\tSTATE", rows)
}

type keyIssue struct {
	changeOptions
	Workspace string `long:"workspace" required:"true" description:"workspace that the key belongs to"`
	Profile   string `long:"profile" required:"true" description:"default profile of requests with the key"`
}

type issuedKey struct {
	ID       string `json:"id"`
	Secret   string `json:"secret"`
	Revision uint64 `json:"revision"`
}

// Execute issues a key.
func (k *keyIssue) Execute([]string) error {
	secret, err := newSecret()
	if err != nil {
		return err
	}
	digest := masticview.DigestOf([]byte(secret))
	item := &masticproto.Key{
		Id:        "key-" + uuid.NewString()[:8],
		Digest:    digest[:],
		Workspace: k.Workspace,
		Profile:   k.Profile,
		State:     string(masticview.KeyActive),
	}
	p, err := k.publish(&masticproto.ViewChange{Keys: []*masticproto.Key{item}})
	if err != nil {
		return err
	}
	issued := issuedKey{item.Id, secret, p.Revision}
	if k.JSON {
		return printJSON(issued)
	}
	fmt.Fprintf(output, "id %s\nsecret %s\n", issued.ID, issued.Secret)
	return nil
}

func newSecret() (string, error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", err
	}
	return "mk_" + base64.RawURLEncoding.EncodeToString(b), nil
}

type keyWithdraw struct {
	changeOptions
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute withdraws a key and waits until the withdrawal is in force.
func (k *keyWithdraw) Execute([]string) error {
	p, err := k.client().WithdrawKey(context.Background(), k.requestID(), k.Args.ID)
	if err != nil {
		return err
	}
	return k.printPublished("withdrawn "+k.Args.ID, p)
}
