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

// DefaultTimeout bounds one order of a Client.
const DefaultTimeout = 30 * time.Second

// Client gives orders to a host's operator address.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// ClientOption sets a part of a Client.
type ClientOption func(*Client)

// WithKey sets the operator's key.
func WithKey(key string) ClientOption { return func(c *Client) { c.key = key } }

// WithAuthority trusts the certificate authority in file and no other. A file that cannot be
// read makes every call fail.
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

// NewClient returns a Client for base, scheme://IP:port.
func NewClient(base string, options ...ClientOption) *Client {
	c := &Client{base: base, client: &http.Client{Timeout: DefaultTimeout}}
	for _, o := range options {
		o(c)
	}
	return c
}

// View returns the configuration as the host holds it.
func (c *Client) View(ctx context.Context) (Document, error) {
	var d Document
	err := c.call(ctx, http.MethodGet, "/v1/view", "", nil, &d)
	return d, err
}

// Status returns what the host knows of control.
func (c *Client) Status(ctx context.Context) (masticcall.ControlStatus, error) {
	var s masticcall.ControlStatus
	err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &s)
	return s, err
}

// Usage returns the totals that control keeps.
func (c *Client) Usage(ctx context.Context) (masticcall.UsageReport, error) {
	var t masticcall.UsageReport
	err := c.call(ctx, http.MethodGet, "/v1/usage", "", nil, &t)
	return t, err
}

// Publish publishes a change.
func (c *Client) Publish(ctx context.Context, p *masticproto.Publish) (masticcall.Published, error) {
	b, err := protojson.Marshal(p)
	if err != nil {
		return masticcall.Published{}, eris.Wrap(err, "encoding the change")
	}
	var out masticcall.Published
	err = c.call(ctx, http.MethodPost, "/v1/publish", p.RequestId, b, &out)
	return out, err
}

// WithdrawKey withdraws a key and returns once that is in force.
func (c *Client) WithdrawKey(ctx context.Context, requestID, id string) (masticcall.Published, error) {
	return c.order(ctx, requestID, "/v1/keys/"+url.PathEscape(id)+"/withdraw")
}

// RetireHost takes a host out of the address answers.
func (c *Client) RetireHost(ctx context.Context, requestID, name string) (masticcall.Published, error) {
	return c.order(ctx, requestID, "/v1/hosts/"+url.PathEscape(name)+"/retire")
}

// RetireServer ends new work for a backend server.
func (c *Client) RetireServer(ctx context.Context, requestID, name string) (masticcall.Published, error) {
	return c.order(ctx, requestID, "/v1/servers/"+url.PathEscape(name)+"/retire")
}

// PutMember makes host a learner or voter of control.
func (c *Client) PutMember(ctx context.Context, host, peer string, voter bool) error {
	b, err := json.Marshal(memberRequest{Peer: peer, Voter: voter})
	if err != nil {
		return eris.Wrap(err, "encoding the member")
	}
	return c.call(ctx, http.MethodPost, "/v1/members/"+url.PathEscape(host), "", b, nil)
}

// RemoveMember takes host out of control.
func (c *Client) RemoveMember(ctx context.Context, host string) error {
	return c.call(ctx, http.MethodDelete, "/v1/members/"+url.PathEscape(host), "", nil, nil)
}

func (c *Client) order(ctx context.Context, requestID, path string) (masticcall.Published, error) {
	var out masticcall.Published
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
	a, err := c.client.Do(r)
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "no answer from %s", c.base)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, 64<<20))
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "half an answer from %s", c.base)
	}
	return decode(a.StatusCode, b, out)
}

func decode(status int, b []byte, out any) error {
	if status != http.StatusOK {
		var f Fault
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
