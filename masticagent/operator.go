package masticagent

import (
	"context"
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// operator implements masticcall.Operator through the leader.
type operator struct{ agent *Agent }

// Publish commits change, which is based on revision base.
func (o *operator) Publish(ctx context.Context, requestID string, base uint64, change *masticproto.ViewChange) (masticcall.PublishResult, error) {
	command := &masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
		RequestId:    requestID,
		BaseRevision: base,
		Change:       change,
	}}}
	answer, err := o.agent.commit(ctx, command, o.agent.publishAttemptTimeout)
	if err != nil {
		return masticcall.PublishResult{}, err
	}
	return masticcall.PublishResult{
		Revision: answer.GetRevision(),
		InForce:  answer.GetInForce(),
		Repeated: answer.GetRepeated(),
	}, nil
}

// ChangeMember makes host a learner or voter, or removes it when member is nil.
func (o *operator) ChangeMember(ctx context.Context, host string, member *masticproto.Member) error {
	q := &masticproto.MemberRequest{Member: member, Remove: member == nil}
	if member == nil {
		q.Member = &masticproto.Member{}
	}
	q.Member.Id = host
	request := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Member{Member: q}}
	_, err := o.agent.leader.call(ctx, request, o.agent.publishAttemptTimeout)
	return err
}

// Usage returns the leader's usage totals.
func (o *operator) Usage(ctx context.Context) (masticcall.UsageReport, error) {
	request := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Usage{Usage: &masticproto.UsageRequest{}}}
	a, err := o.agent.leader.call(ctx, request, o.agent.attemptTimeout)
	if err != nil {
		return masticcall.UsageReport{}, err
	}
	var report masticcall.UsageReport
	for _, c := range a.answer.GetUsage().GetCounters() {
		report.Charged = append(report.Charged, usageTotal(c))
	}
	for _, s := range a.answer.GetUsage().GetServed() {
		report.Served = append(report.Served, masticcall.ServedTotal{
			ServerOwner:  s.GetServerOwner(),
			Model:        s.GetModel(),
			Requests:     s.GetRequests(),
			InputTokens:  s.GetInputTokens(),
			OutputTokens: s.GetOutputTokens(),
		})
	}
	return report, nil
}

func usageTotal(c *masticproto.UsageCounter) masticcall.UsageTotal {
	t := masticcall.UsageTotal{
		Workspace:        c.GetWorkspace(),
		Profile:          c.GetProfile(),
		Model:            c.GetModel(),
		ServerOwner:      c.GetServerOwner(),
		Requests:         c.GetRequests(),
		Orders:           c.GetOrders(),
		InputTokens:      c.GetInputTokens(),
		OutputTokens:     c.GetOutputTokens(),
		CachedTokens:     c.GetCachedTokens(),
		RecomputedTokens: c.GetRecomputedTokens(),
		Refusals:         map[string]int64{},
	}
	for _, r := range c.GetRefusals() {
		t.Refusals[r.GetKind()] = r.GetCount()
	}
	return t
}

// Status returns the leader's status of the control group together with this host's own lease.
// If no leader answers, it returns the error and only this host's own values.
func (o *operator) Status(ctx context.Context) (masticcall.ControlStatus, error) {
	own := masticcall.ControlStatus{
		Host:       o.agent.host,
		Revision:   o.agent.View().Revision(),
		LeaseUntil: o.agent.views.leaseExpiry(),
	}
	request := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Status{Status: &masticproto.StatusRequest{}}}
	a, err := o.agent.leader.call(ctx, request, o.agent.attemptTimeout)
	if err != nil {
		return own, err
	}
	s := a.answer.GetStatus()
	own.Leader, own.Term, own.Commit = s.GetLeader(), s.GetTerm(), s.GetCommit()
	own.ActiveLeases, own.StateBytes = int(s.GetActiveLeases()), s.GetStateBytes()
	own.LastCommitted = time.UnixMilli(s.GetLastCommittedUnixMs())
	for _, m := range s.GetMembers() {
		own.Members = append(own.Members, masticcall.ControlMember{
			Host:    m.GetId(),
			Voter:   m.GetVoter(),
			Address: m.GetAddress(),
			Storage: m.GetStorage(),
		})
	}
	return own, nil
}
