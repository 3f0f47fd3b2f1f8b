package masticcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"

	"masticladder/masticadmin"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// OperatorKeyVariable is the environment variable that holds the operator's key.
const OperatorKeyVariable = "MASTICLADDER_OPERATOR_KEY"

// adminOptions are the flags of every command that asks a host.
type adminOptions struct {
	Admin string `long:"admin" default:"127.0.0.1:8601" description:"operator address of any host: IP:port, or a URL for TLS"`
	JSON  bool   `long:"json" description:"print JSON"`
	// Authority is needed where the operators' address has a certificate of the fleet's own authority.
	Authority string `long:"authority" description:"file of the certificate authority to trust, with a https URL"`
}

// orderOptions are the flags of every command that changes something.
type orderOptions struct {
	adminOptions
	RequestID string `long:"request-id" description:"identifier under which a repeated order is recognised; repeat it to resend after a lost answer"`
}

func (o adminOptions) client() *masticadmin.Client {
	base := o.Admin
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	options := []masticadmin.ClientOption{masticadmin.WithKey(os.Getenv(OperatorKeyVariable))}
	if o.Authority != "" {
		options = append(options, masticadmin.WithAuthority(o.Authority))
	}
	return masticadmin.NewClient(base, options...)
}

func (o orderOptions) requestID() string {
	if o.RequestID != "" {
		return o.RequestID
	}
	return uuid.NewString()
}

// publish publishes a change to whichever revision is current.
func (o orderOptions) publish(change *masticproto.ViewChange) (masticcall.Published, error) {
	return o.client().Publish(context.Background(), &masticproto.Publish{RequestId: o.requestID(), Change: change})
}

// table prints rows under a header, or value as JSON.
func (o adminOptions) table(value any, header string, rows []string) error {
	if o.JSON {
		return printJSON(value)
	}
	w := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, r := range rows {
		fmt.Fprintln(w, r)
	}
	return w.Flush()
}

func printJSON(value any) error {
	e := json.NewEncoder(output)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// published prints the answer to a change. A change that is not in force
// everywhere is printed and returned as an error.
func (o adminOptions) published(what string, p masticcall.Published) error {
	if o.JSON {
		if err := printJSON(p); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(output, "%s: revision %d%s\n", what, p.Revision, repeatedText(p))
	}
	if !p.InForce {
		return masticerror.New(masticerror.KindCommittedNotInForce, "committed, not yet in force on every host")
	}
	return nil
}

func repeatedText(p masticcall.Published) string {
	if p.Repeated {
		return ", the first answer again"
	}
	return ", in force"
}
