// Package masticloader is the client that sends load orders to model engines over HTTP.
package masticloader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/mastichttp"
	"masticladder/masticplace"
	"masticladder/masticview"
)

// maxReportBytes is the maximum number of bytes read of a load report.
const maxReportBytes = 64 << 10

// Loader sends load orders. It is safe for concurrent use.
type Loader struct {
	client *http.Client
}

// New returns a Loader without timeouts; callers limit each call with its context.
func New() *Loader { return &Loader{client: mastichttp.NewClient()} }

// orderBody is the request body of a load order.
type orderBody struct {
	Model          string `json:"model"`
	WeightsVersion string `json:"weightsVersion"`
	Term           uint64 `json:"term"`
	Sequence       uint64 `json:"sequence"`
}

// loadReport is the part of an engine's load report that lists the loaded weights versions by
// model.
type loadReport struct {
	Models map[string]string `json:"models"`
}

// Load orders server to load the weights of o and returns after they are loaded. It sends no
// order if the server has loaded them already. A server's refusal, such as that of an outdated
// fencing token, is an error of kind backendRefused.
func (l *Loader) Load(ctx context.Context, server masticview.Server, o masticplace.Order) error {
	loaded, err := l.isLoaded(ctx, server, o)
	if err != nil {
		return err
	}
	if loaded {
		return nil
	}
	body, err := json.Marshal(orderBody{o.Model, o.WeightsVersion, o.Fence.Term, o.Fence.Sequence})
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "encode the load order")
	}
	_, err = l.call(ctx, http.MethodPost, server.URL+"/admin/load", body)
	return err
}

func (l *Loader) isLoaded(ctx context.Context, server masticview.Server, o masticplace.Order) (bool, error) {
	b, err := l.call(ctx, http.MethodGet, server.URL+"/load", nil)
	if err != nil {
		return false, err
	}
	var r loadReport
	if err := json.Unmarshal(b, &r); err != nil {
		return false, masticerror.Wrap(err, masticerror.KindBackendFailed, "read the load report")
	}
	version, ok := r.Models[o.Model]
	return ok && version == o.WeightsVersion, nil
}

func (l *Loader) call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, masticerror.Wrap(err, masticerror.KindInternal, "create the load request")
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := l.client.Do(q)
	if err != nil {
		return nil, masticerror.Wrap(err, masticerror.KindBackendFailed, "%s %s", method, url)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxReportBytes))
	if err != nil {
		return nil, masticerror.Wrap(err, masticerror.KindBackendFailed, "%s %s", method, url)
	}
	if s, _ := masticengine.ParseStatement(a.StatusCode, a.Header, time.Now()); s.Leaving {
		return nil, masticplace.ErrServerLeaving
	}
	if a.StatusCode != http.StatusOK {
		return nil, masticerror.New(masticerror.KindBackendRefused, "%s %s: status %d", method, url, a.StatusCode)
	}
	return b, nil
}
