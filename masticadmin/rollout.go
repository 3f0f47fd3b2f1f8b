package masticadmin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"masticladder/masticerror"
	"masticladder/masticview"
)

// Rollouts orders and reads rollouts of software versions.
type Rollouts interface {
	OrderRollout(ctx context.Context, service, target string, span time.Duration) error
	ReadRollout(ctx context.Context, service string) (masticview.Rollout, error)
}

// WithRollouts sets the interface that orders and reads rollouts. Without it, both are refused.
func WithRollouts(r Rollouts) Option { return func(s *Server) { s.rollouts = r } }

// RolloutOrder is the body of an order of a rollout.
type RolloutOrder struct {
	Service        string `json:"service"`
	Target         string `json:"target"`
	DeadlineMillis int64  `json:"deadlineMillis"`
}

func (s *Server) orderRollout(w http.ResponseWriter, r *http.Request) {
	var o RolloutOrder
	if err := s.readSmall(w, r, &o); err != nil {
		writeError(w, err)
		return
	}
	if s.rollouts == nil {
		writeError(w, masticerror.New(masticerror.KindNotFound, "this host orders no rollouts"))
		return
	}
	writeResult(w, doneResponse{true}, s.rollouts.OrderRollout(r.Context(), o.Service, o.Target, time.Duration(o.DeadlineMillis)*time.Millisecond))
}

func (s *Server) getRollout(w http.ResponseWriter, r *http.Request) {
	if s.rollouts == nil {
		writeError(w, masticerror.New(masticerror.KindNotFound, "this host orders no rollouts"))
		return
	}
	rollout, err := s.rollouts.ReadRollout(r.Context(), r.PathValue("service"))
	writeResult(w, rollout, err)
}

// OrderRollout orders the move of the traffic of a service to servers of a software version. The same order may be sent
// again.
func (c *Client) OrderRollout(ctx context.Context, o RolloutOrder) error {
	b, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "encoding the order")
	}
	return c.call(ctx, http.MethodPost, "/v1/rollouts", "", b, nil)
}

// Rollout returns the last rollout of a service.
func (c *Client) Rollout(ctx context.Context, service string) (masticview.Rollout, error) {
	var r masticview.Rollout
	err := c.call(ctx, http.MethodGet, "/v1/rollouts/"+url.PathEscape(service), "", nil, &r)
	return r, err
}
