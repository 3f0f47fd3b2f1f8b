package masticassign

import (
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// encodeRequest converts a request. Times are sent as what is left, because the clocks of hosts differ.
func encodeRequest(now time.Time, q masticcall.ShardRequest) *masticproto.AssignRequest {
	r := q.Request
	p := &masticproto.AssignRequest{
		Host: q.Host, Id: q.ID, Shard: uint32(r.Shard), Request: r.ID, Workspace: r.Workspace, Weight: r.Weight, Model: r.Model,
		Class: string(r.Class), Weights: r.Weights, PromptTokens: count(r.PromptTokens), OutputTokens: count(r.OutputTokens), Digest: r.Digest[:],
		FirstTokenMs: r.FirstTokenDeadline.Sub(now).Milliseconds(), DeadlineMs: r.Deadline.Sub(now).Milliseconds(),
		Avoid: r.Avoid, Attempt: int64(r.Attempt), Reacquired: r.Reacquired, Software: r.Software.Version, SoftwareRequired: r.Software.Required, SoftwareExcluded: r.Software.Excluded,
	}
	// The coordinator needs the outermost levels only, which requests share. PromptTokens counts all.
	for _, l := range r.Levels[:min(maxLevels, len(r.Levels))] {
		p.Levels = append(p.Levels, &masticproto.PromptLevel{Role: l.Role, Text: l.Text, Tokens: count(l.Tokens)})
	}
	return p
}

// Bounds of what another host may ask for.
const (
	maxLevels = 64
	maxAvoid  = 1 << 12
	maxTokens = 1 << 32
	maxTime   = time.Hour
)

// decodeRequest converts a request. It reports false if no host sends such a one.
func decodeRequest(now time.Time, p *masticproto.AssignRequest) (masticcall.ShardRequest, bool) {
	digest, err := masticview.DigestFromBytes(p.GetDigest())
	if err != nil || p.GetShard() == 0 || p.GetShard() > 1<<16 || len(p.GetLevels()) > maxLevels || len(p.GetAvoid()) > maxAvoid || !isCount(p.GetPromptTokens()) || !isCount(p.GetOutputTokens()) {
		return masticcall.ShardRequest{}, false
	}
	r := masticcall.Request{
		ID: p.GetRequest(), Workspace: p.GetWorkspace(), Weight: max(1, p.GetWeight()), Model: p.GetModel(), Class: masticview.Class(p.GetClass()),
		Weights: p.GetWeights(), PromptTokens: p.GetPromptTokens(), OutputTokens: p.GetOutputTokens(), Digest: digest,
		FirstTokenDeadline: timeLeft(now, p.GetFirstTokenMs()), Deadline: timeLeft(now, p.GetDeadlineMs()),
		Avoid: p.GetAvoid(), Shard: int(p.GetShard()), Attempt: int(p.GetAttempt()), Reacquired: p.GetReacquired(),
		Software: masticcall.Software{Version: p.GetSoftware(), Required: p.GetSoftwareRequired(), Excluded: p.GetSoftwareExcluded()},
	}
	for _, l := range p.GetLevels() {
		if !isCount(l.GetTokens()) {
			return masticcall.ShardRequest{}, false
		}
		r.Levels = append(r.Levels, masticcall.Level{Role: l.GetRole(), Text: l.GetText(), Tokens: l.GetTokens()})
	}
	return masticcall.ShardRequest{Host: p.GetHost(), ID: p.GetId(), Request: r}, true
}

// count returns the nearest number of tokens that a coordinator accepts: callers may state any.
func count(n int64) int64 { return min(max(n, 0), maxTokens) }

func isCount(n int64) bool { return n >= 0 && n <= maxTokens }

func timeLeft(now time.Time, ms int64) time.Time {
	most := maxTime.Milliseconds()
	return now.Add(time.Duration(min(max(ms, -most), most)) * time.Millisecond)
}

func encodeAssignment(a masticcall.ShardAssignment) *masticproto.AssignAnswer {
	return &masticproto.AssignAnswer{
		Server: a.Server, Incarnation: a.Incarnation, WeightsVersion: a.WeightsVersion, Fetch: a.FetchAddress, Save: a.SaveAddress,
		CachedTokens: a.CachedTokens, WaitUs: a.Wait.Microseconds(), PrefillUs: a.Prefill.Microseconds(), Busy: a.Busy, Candidates: a.Candidates,
	}
}

func decodeAssignment(p *masticproto.AssignAnswer) masticcall.ShardAssignment {
	return masticcall.ShardAssignment{
		Server: p.GetServer(), Incarnation: p.GetIncarnation(), WeightsVersion: p.GetWeightsVersion(), FetchAddress: p.GetFetch(), SaveAddress: p.GetSave(),
		CachedTokens: min(max(0, p.GetCachedTokens()), maxTokens), Wait: timeOf(p.GetWaitUs()), Prefill: timeOf(p.GetPrefillUs()),
		Busy: p.GetBusy(), Candidates: p.GetCandidates(),
	}
}

func timeOf(us int64) time.Duration {
	return time.Duration(min(max(0, us), maxTime.Microseconds())) * time.Microsecond
}

func encodeUpdate(u masticcall.ShardUpdate) *masticproto.AssignUpdate {
	return &masticproto.AssignUpdate{
		Host: u.Host, Id: u.ID, Done: u.Done, Failure: u.Result.Failure, ServerEnded: u.Result.ServerEnded, Paused: u.Result.Paused,
		Incarnation: u.Result.ServerIncarnation, CachedTokens: u.Result.CachedTokens, CachedUnknown: u.Result.CachedUnknown,
	}
}

func decodeUpdate(p *masticproto.AssignUpdate) masticcall.ShardUpdate {
	return masticcall.ShardUpdate{Host: p.GetHost(), ID: p.GetId(), Done: p.GetDone(), Result: masticcall.Result{
		Failure: p.GetFailure(), ServerEnded: p.GetServerEnded(), Paused: p.GetPaused(),
		ServerIncarnation: p.GetIncarnation(), CachedTokens: min(max(0, p.GetCachedTokens()), maxTokens), CachedUnknown: p.GetCachedUnknown(),
	}}
}
