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

// adminOptions are the flags of every command that calls the admin API of a host.
type adminOptions struct {
	Admin string `long:"admin" default:"127.0.0.1:8601" description:"operator address of any host: IP:port, or a URL for TLS"`
	JSON  bool   `long:"json" description:"print JSON"`
	// Authority is required if the certificate of the admin address is issued by a private
	// certificate authority.
	Authority string `long:"authority" description:"file of the certificate authority to trust, with an https URL"`
}

// changeOptions are the flags of every command that publishes a change.
type changeOptions struct {
	adminOptions
	RequestID string `long:"request-id" description:"identifier of the change; give the same one to resend a change whose answer was lost"`
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

func (o changeOptions) requestID() string {
	if o.RequestID != "" {
		return o.RequestID
	}
	return uuid.NewString()
}

// publish publishes a change on top of the current revision, whichever that is.
func (o changeOptions) publish(change *masticproto.ViewChange) (masticcall.PublishResult, error) {
	return o.client().Publish(context.Background(), &masticproto.Publish{RequestId: o.requestID(), Change: change})
}

// table prints rows under a header, or value as JSON if --json is given.
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

// printPublished prints the answer to a change. It returns a committedNotInForce error if the
// change is not yet in force on every host.
func (o adminOptions) printPublished(what string, p masticcall.PublishResult) error {
	if o.JSON {
		if err := printJSON(p); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(output, "%s: revision %d%s\n", what, p.Revision, outcomeText(p))
	}
	if !p.InForce {
		return masticerror.New(masticerror.KindCommittedNotInForce, "committed, not yet in force on every host")
	}
	return nil
}

func outcomeText(p masticcall.PublishResult) string {
	if p.Repeated {
		return ", answer of the earlier request with this identifier"
	}
	return ", in force"
}
