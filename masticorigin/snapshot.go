package masticorigin

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// Snapshot returns all records, in a fixed order.
func (r *Records) Snapshot() *masticproto.OriginSnapshot {
	p := &masticproto.OriginSnapshot{
		Current: r.encodeRecords(), CurrentSenders: encodeSenders(r.currentSenders), PreviousSenders: encodeSenders(r.previousSenders),
		ClockUs:   r.clock.Microseconds(),
		LongestMs: r.versions.longestMs, FormerLongestMs: r.versions.formerLongestMs, FormerUntilMs: r.versions.formerUntilMs,
	}
	for _, service := range slices.Sorted(maps.Keys(r.versions.services)) {
		x := r.versions.services[service]
		p.Services = append(p.Services, &masticproto.ServiceVersions{
			Service: service, Base: x.base, Served: x.served, ServedSinceMs: x.servedSinceMs, Sole: x.sole, SoleSinceMs: x.soleSinceMs,
		})
	}
	return p
}

// Restore returns the records in p, empty ones for nil.
func Restore(p *masticproto.OriginSnapshot, options ...Option) *Records {
	r := New(options...)
	r.clock = time.Duration(p.GetClockUs()) * time.Microsecond
	r.decodeRecords(p.GetCurrent())
	r.decodeRecords(p.GetPrevious())
	decodeSenders(r.currentSenders, p.GetCurrentSenders())
	decodeSenders(r.previousSenders, p.GetPreviousSenders())
	r.versions.longestMs, r.versions.formerLongestMs, r.versions.formerUntilMs = p.GetLongestMs(), p.GetFormerLongestMs(), p.GetFormerUntilMs()
	for _, x := range p.GetServices() {
		r.versions.services[x.GetService()] = serviceVersions{
			base: x.GetBase(), served: x.GetServed(), servedSinceMs: x.GetServedSinceMs(), sole: x.GetSole(), soleSinceMs: x.GetSoleSinceMs(),
		}
	}
	return r
}

func (r *Records) encodeRecords() []*masticproto.BegunStreams {
	type group struct{ software, host string }
	groups := map[group][]masticcall.StreamKey{}
	for k, x := range r.records {
		g := group{x.software, x.host}
		groups[g] = append(groups[g], k)
	}
	inOrder := func(a, b group) int { return cmp.Or(cmp.Compare(a.software, b.software), cmp.Compare(a.host, b.host)) }
	var out []*masticproto.BegunStreams
	for _, g := range slices.SortedFunc(maps.Keys(groups), inOrder) {
		all := groups[g]
		slices.SortFunc(all, func(a, b masticcall.StreamKey) int { return bytes.Compare(a[:], b[:]) })
		p := &masticproto.BegunStreams{Software: g.software, Host: g.host}
		for _, k := range all {
			p.Keys = append(p.Keys, k[:]...)
			// A lifetime from which expiry returns the same second.
			p.LifetimesMs = append(p.LifetimesMs, uint32(max(0, (r.records[k].expiresAt-1)*msPerSecond-r.nowMs())))
		}
		out = append(out, p)
	}
	return out
}

func (r *Records) decodeRecords(all []*masticproto.BegunStreams) {
	for _, x := range all {
		n := 0
		for k := range keys(x.GetKeys()) {
			r.put(k, record{x.GetSoftware(), x.GetHost(), r.expiry(x.GetLifetimesMs(), n)})
			n++
		}
	}
}

func encodeSenders(senders map[string]sender) []*masticproto.OriginSender {
	var out []*masticproto.OriginSender
	for _, host := range slices.Sorted(maps.Keys(senders)) {
		s := senders[host]
		out = append(out, &masticproto.OriginSender{Host: host, Incarnation: s.incarnation, Oldest: s.oldest})
	}
	return out
}

func decodeSenders(into map[string]sender, all []*masticproto.OriginSender) {
	for _, s := range all {
		into[s.GetHost()] = sender{s.GetIncarnation(), s.GetOldest()}
	}
}
