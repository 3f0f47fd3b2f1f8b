package masticassign

import (
	"context"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// Charge implements masticcall.Keepers.
func (c *Client) Charge(ctx context.Context, peer string, q masticcall.Charge) (masticcall.ChargeAnswer, error) {
	client, err := c.client(peer)
	if err != nil {
		return masticcall.ChargeAnswer{}, err
	}
	a, err := client.Call(ctx, &masticproto.PeerRequest{Sent: c.clock.sentAt(time.Now()), Kind: &masticproto.PeerRequest_Charge{Charge: &masticproto.ChargeRequest{
		Workspace: q.Workspace, Tokens: q.Tokens, WaitUs: q.Wait.Microseconds(), SubstituteOf: uint32(q.SubstituteOf), Extra: q.Extra,
	}}})
	if err != nil {
		return masticcall.ChargeAnswer{}, client.classified(err)
	}
	p := a.GetCharge()
	if p == nil {
		return masticcall.ChargeAnswer{}, masticerror.New(masticerror.KindInternal, "%s answered no charge", peer)
	}
	return masticcall.ChargeAnswer{Kept: p.GetKept(), Admitted: p.GetAdmitted(), Delay: timeOf(p.GetDelayUs()), Extra: min(max(0, p.GetExtra()), q.Extra)}, nil
}

// Refund implements masticcall.Keepers.
func (c *Client) Refund(peer, workspace string, tokens int64) {
	client, err := c.client(peer)
	if err != nil {
		return
	}
	// Tokens whose refund is lost count as used.
	_ = client.Send(&masticproto.PeerRequest{
		Mode: masticproto.PeerMode_PEER_ONE_WAY,
		Kind: &masticproto.PeerRequest_ChargeRefund{ChargeRefund: &masticproto.ChargeRefund{Workspace: workspace, Tokens: tokens}},
	})
}

// Keeper holds parts of the quotas of workspaces.
type Keeper interface {
	Charge(now time.Time, c masticcall.Charge) masticcall.ChargeAnswer
	Refund(workspace string, tokens int64)
}

// maxSubstituteOf bounds the parts of which a substitute may be asked for one.
const maxSubstituteOf = 1 << 10

// charge answers a charge.
func (s *Server) charge(p *masticproto.ChargeRequest) (*masticproto.PeerAnswer, error) {
	if s.keeper == nil || !isCount(p.GetTokens()) || !isCount(p.GetExtra()) || p.GetSubstituteOf() > maxSubstituteOf {
		return nil, masticerror.New(masticerror.KindBadRequest, "the charge is malformed, or this host keeps no quotas")
	}
	a := s.keeper.Charge(time.Now(), masticcall.Charge{
		Workspace: p.GetWorkspace(), Tokens: p.GetTokens(), Wait: timeOf(p.GetWaitUs()), SubstituteOf: int(p.GetSubstituteOf()), Extra: p.GetExtra(),
	})
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Charge{Charge: &masticproto.ChargeAnswer{
		Kept: a.Kept, Admitted: a.Admitted, DelayUs: (a.Delay + time.Microsecond - 1).Microseconds(), Extra: a.Extra,
	}}}, nil
}
