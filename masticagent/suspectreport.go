package masticagent

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// verdicts maps the verdicts of reports to those of the control group.
var verdicts = map[masticcall.Verdict]masticproto.Verdict{
	masticcall.VerdictAlive: masticproto.Verdict_VERDICT_ALIVE,
	masticcall.VerdictLost:  masticproto.Verdict_VERDICT_LOST,
	masticcall.VerdictEnded: masticproto.Verdict_VERDICT_ENDED,

	masticcall.VerdictCompleted: masticproto.Verdict_VERDICT_COMPLETED,
}

// suspectReport returns r for the control group. Times are stated as ages, because the clocks of hosts
// differ.
func (a *Agent) suspectReport(now time.Time, r masticcall.ServerReport) *masticproto.SuspectReport {
	out := &masticproto.SuspectReport{
		Id:                    r.ID,
		Server:                r.Server,
		ServerIncarnation:     r.Incarnation,
		QuarantineUntilUnixMs: now.Add(a.quarantinePeriod).UnixMilli(),
		QuarantineAfter:       uint32(a.quarantineAfterFor(r.Incarnation)),
		Verdict:               verdicts[r.Verdict],
		FailedAgeMs:           now.Sub(r.FailedAt).Milliseconds(),
	}
	parts := &reportedParts{now: now, report: r, indices: map[masticview.Digest]uint32{}}
	parts.choose(a.suspects.isSuspected)
	for _, q := range r.Requests {
		var digest []byte
		if !q.ContentCompleted {
			digest = q.Content.Digest[:]
		}
		out.Digests = append(out.Digests, digest)
		out.AgesMs = append(out.AgesMs, now.Sub(q.SentAt).Milliseconds())
		out.RequestParts = append(out.RequestParts, parts.of(q))
	}
	for _, d := range slices.SortedFunc(maps.Keys(r.CompletedParts), masticview.Digest.Compare) {
		parts.index(d)
	}
	out.Parts = parts.list
	return out
}

// maxReportedParts bounds the parts of one report. The header of a request has some 1,300 at most.
const maxReportedParts = 4096

// leftOut returns how many parts of the requests of a report it does not hold.
func leftOut(r masticcall.ServerReport, report *masticproto.SuspectReport) int {
	distinct := map[masticview.Digest]struct{}{}
	for _, q := range r.Requests {
		for _, d := range q.Content.Parts {
			distinct[d] = struct{}{}
		}
	}
	return max(0, len(distinct)-len(report.GetParts()))
}

// reportedParts collects the parts of the requests of a report, each once.
type reportedParts struct {
	now     time.Time
	report  masticcall.ServerReport
	list    []*masticproto.SuspectPart
	indices map[masticview.Digest]uint32
}

// choose adds the parts of all requests if there is room, else those that are suspected before, and then of each request as many
// as of the others. Which of them is chance, so that later reports have others.
func (p *reportedParts) choose(suspected func([]masticview.Digest) []masticview.Digest) {
	total := 0
	for _, q := range p.report.Requests {
		total += len(q.Content.Parts)
	}
	if total <= maxReportedParts {
		return
	}
	longest := 0
	starts := make([]int, len(p.report.Requests))
	for i, q := range p.report.Requests {
		longest = max(longest, len(q.Content.Parts))
		if len(q.Content.Parts) > 0 {
			starts[i] = rand.IntN(len(q.Content.Parts))
		}
		for _, d := range suspected(q.Content.Parts) {
			p.index(d)
		}
	}
	for n := range longest {
		for i, q := range p.report.Requests {
			if n < len(q.Content.Parts) {
				p.index(q.Content.Parts[(starts[i]+n)%len(q.Content.Parts)])
			}
		}
	}
}

// of returns the indices of the parts of q.
func (p *reportedParts) of(q masticcall.FailedRequest) *masticproto.PartIndices {
	out := &masticproto.PartIndices{}
	for _, d := range q.Content.Parts {
		if i, ok := p.index(d); ok {
			out.Indices = append(out.Indices, i)
		}
	}
	return out
}

// index returns the index of a part, which it adds if it is new and there is room.
func (p *reportedParts) index(d masticview.Digest) (uint32, bool) {
	if i, ok := p.indices[d]; ok || len(p.list) >= maxReportedParts {
		return i, ok
	}
	x := &masticproto.SuspectPart{Digest: d[:]}
	if at, ok := p.report.CompletedParts[d]; ok {
		x.CompletedAgeMs = proto.Int64(max(0, p.now.Sub(at).Milliseconds()))
	}
	p.indices[d] = uint32(len(p.list))
	p.list = append(p.list, x)
	return p.indices[d], true
}
