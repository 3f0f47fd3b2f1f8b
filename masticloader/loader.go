// Package masticloader gives load orders to model engines over HTTP.
package masticloader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"masticladder/masticerror"
	"masticladder/masticplace"
	"masticladder/masticview"
)

// maxReportBytes bounds a load report.
const maxReportBytes = 64 << 10

// Loader gives load orders. It is safe for concurrent use.
type Loader struct {
	client *http.Client
}

// New returns a Loader; contexts bound its calls.
func New() *Loader { return &Loader{client: &http.Client{}} }

// order is the body of an order.
type order struct {
	Model          string `json:"model"`
	WeightsVersion string `json:"weightsVersion"`
	Term           uint64 `json:"term"`
	Sequence       uint64 `json:"sequence"`
}

// report is the part of a load report that names the loaded weights.
type report struct {
	Models map[string]string `json:"models"`
}

// Load orders server to load o and returns once it has. A backend server that has the
// weights already is not ordered. An old fencing number is refused with kind backendRefused.
func (l *Loader) Load(ctx context.Context, server masticview.Server, o masticplace.Order) error {
	has, err := l.has(ctx, server, o)
	if err != nil {
		return err
	}
	if has {
		return nil
	}
	body, err := json.Marshal(order{o.Model, o.WeightsVersion, o.Fence.Term, o.Fence.Sequence})
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "encoding the order")
	}
	_, err = l.call(ctx, http.MethodPost, server.URL+"/admin/load", body)
	return err
}

func (l *Loader) has(ctx context.Context, server masticview.Server, o masticplace.Order) (bool, error) {
	b, err := l.call(ctx, http.MethodGet, server.URL+"/load", nil)
	if err != nil {
		return false, err
	}
	var r report
	if err := json.Unmarshal(b, &r); err != nil {
		return false, masticerror.Wrap(err, masticerror.KindBackendFailed, "reading the load report")
	}
	version, ok := r.Models[o.Model]
	return ok && version == o.WeightsVersion, nil
}

func (l *Loader) call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, masticerror.Wrap(err, masticerror.KindInternal, "making the request")
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
	if a.StatusCode != http.StatusOK {
		return nil, masticerror.New(masticerror.KindBackendRefused, "%s %s: status %d", method, url, a.StatusCode)
	}
	return b, nil
}
