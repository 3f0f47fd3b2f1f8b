package masticadmin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// DefaultTimeout is the timeout of one call of a Client.
const DefaultTimeout = 30 * time.Second

// Client calls the operators' API of a host.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithKey sets the operator's key.
func WithKey(key string) ClientOption { return func(c *Client) { c.key = key } }

// WithAuthority makes the client trust only the certificate authority in file. If the file cannot
// be read, every call over TLS fails.
func WithAuthority(file string) ClientOption {
	return func(c *Client) {
		pool := x509.NewCertPool()
		if b, err := os.ReadFile(file); err == nil {
			pool.AppendCertsFromPEM(b)
		}
		config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
		c.client = &http.Client{Timeout: DefaultTimeout, Transport: &http.Transport{TLSClientConfig: config}}
	}
}

// NewClient returns a Client for the host at base, in the form scheme://IP:port.
func NewClient(base string, options ...ClientOption) *Client {
	c := &Client{base: base, client: &http.Client{Timeout: DefaultTimeout}}
	for _, o := range options {
		o(c)
	}
	return c
}

// View returns the host's current view of the configuration.
func (c *Client) View(ctx context.Context) (ViewDocument, error) {
	var d ViewDocument
	err := c.call(ctx, http.MethodGet, "/v1/view", "", nil, &d)
	return d, err
}

// Status returns the state of the control group as known to the host.
func (c *Client) Status(ctx context.Context) (masticcall.ControlStatus, error) {
	var s masticcall.ControlStatus
	err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &s)
	return s, err
}

// Usage returns the usage totals stored by the control group.
func (c *Client) Usage(ctx context.Context) (masticcall.UsageReport, error) {
	var t masticcall.UsageReport
	err := c.call(ctx, http.MethodGet, "/v1/usage", "", nil, &t)
	return t, err
}

// Publish publishes a change of the configuration.
func (c *Client) Publish(ctx context.Context, p *masticproto.Publish) (masticcall.PublishResult, error) {
	b, err := protojson.Marshal(p)
	if err != nil {
		return masticcall.PublishResult{}, eris.Wrap(err, "encoding the change")
	}
	var out masticcall.PublishResult
	err = c.call(ctx, http.MethodPost, "/v1/publish", p.RequestId, b, &out)
	return out, err
}

// WithdrawKey withdraws a key. It returns once the withdrawal is in force or the wait for that has
// ended; PublishResult.InForce reports which.
func (c *Client) WithdrawKey(ctx context.Context, requestID, id string) (masticcall.PublishResult, error) {
	return c.postAction(ctx, requestID, "/v1/keys/"+url.PathEscape(id)+"/withdraw")
}

// RetireHost removes a host from the address lists for callers.
func (c *Client) RetireHost(ctx context.Context, requestID, name string) (masticcall.PublishResult, error) {
	return c.postAction(ctx, requestID, "/v1/hosts/"+url.PathEscape(name)+"/retire")
}

// RetireServer stops assigning new requests to a backend server.
func (c *Client) RetireServer(ctx context.Context, requestID, name string) (masticcall.PublishResult, error) {
	return c.postAction(ctx, requestID, "/v1/servers/"+url.PathEscape(name)+"/retire")
}

// PutMember makes host a voter of the control group, or a learner if voter is false.
func (c *Client) PutMember(ctx context.Context, host, peer string, voter bool) error {
	b, err := json.Marshal(memberRequest{Peer: peer, Voter: voter})
	if err != nil {
		return eris.Wrap(err, "encoding the member")
	}
	return c.call(ctx, http.MethodPost, "/v1/members/"+url.PathEscape(host), "", b, nil)
}

// RemoveMember removes host from the control group.
func (c *Client) RemoveMember(ctx context.Context, host string) error {
	return c.call(ctx, http.MethodDelete, "/v1/members/"+url.PathEscape(host), "", nil, nil)
}

func (c *Client) postAction(ctx context.Context, requestID, path string) (masticcall.PublishResult, error) {
	var out masticcall.PublishResult
	err := c.call(ctx, http.MethodPost, path, requestID, nil, &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path, requestID string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "making the request")
	}
	r.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		r.Header.Set("Mastic-Request-Id", requestID)
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "no answer from %s", c.base)
	}
	defer response.Body.Close()
	b, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "half an answer from %s", c.base)
	}
	return decode(response.StatusCode, b, out)
}

func decode(status int, b []byte, out any) error {
	if status != http.StatusOK {
		var f ErrorResponse
		if err := json.Unmarshal(b, &f); err != nil || f.Error.Kind == "" {
			return masticerror.New(masticerror.KindInternal, "answer %d: %.200s", status, b)
		}
		return masticerror.New(f.Error.Kind, "%s", f.Error.Message)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(b, out), "reading the answer")
}
