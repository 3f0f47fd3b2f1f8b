package masticorigin

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// Snapshot returns all records, in a fixed order.
func (r *Records) Snapshot() *masticproto.OriginSnapshot {
	return &masticproto.OriginSnapshot{
		Current: encodeRecords(r.current), Previous: encodeRecords(r.previous),
		CurrentSenders: encodeSenders(r.currentSenders), PreviousSenders: encodeSenders(r.previousSenders),
	}
}

// Restore returns the records in p, empty ones for nil.
func Restore(p *masticproto.OriginSnapshot, options ...Option) *Records {
	r := New(options...)
	decodeRecords(r.current, p.GetCurrent())
	decodeRecords(r.previous, p.GetPrevious())
	decodeSenders(r.currentSenders, p.GetCurrentSenders())
	decodeSenders(r.previousSenders, p.GetPreviousSenders())
	return r
}

func encodeRecords(records map[masticcall.StreamKey]record) []*masticproto.BegunStreams {
	groups := map[record][]masticcall.StreamKey{}
	for k, x := range records {
		groups[x] = append(groups[x], k)
	}
	inOrder := func(a, b record) int { return cmp.Or(cmp.Compare(a.software, b.software), cmp.Compare(a.host, b.host)) }
	var out []*masticproto.BegunStreams
	for _, x := range slices.SortedFunc(maps.Keys(groups), inOrder) {
		all := groups[x]
		slices.SortFunc(all, func(a, b masticcall.StreamKey) int { return bytes.Compare(a[:], b[:]) })
		p := &masticproto.BegunStreams{Software: x.software, Host: x.host}
		for _, k := range all {
			p.Keys = append(p.Keys, k[:]...)
		}
		out = append(out, p)
	}
	return out
}

func decodeRecords(into map[masticcall.StreamKey]record, all []*masticproto.BegunStreams) {
	for _, x := range all {
		for k := range keys(x.GetKeys()) {
			into[k] = record{x.GetSoftware(), x.GetHost()}
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
