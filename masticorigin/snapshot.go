package masticorigin

import (
	"bytes"
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

func encodeRecords(records map[masticcall.StreamKey]string) []*masticproto.BegunStreams {
	bySoftware := map[string][]masticcall.StreamKey{}
	for k, software := range records {
		bySoftware[software] = append(bySoftware[software], k)
	}
	var out []*masticproto.BegunStreams
	for _, software := range slices.Sorted(maps.Keys(bySoftware)) {
		all := bySoftware[software]
		slices.SortFunc(all, func(a, b masticcall.StreamKey) int { return bytes.Compare(a[:], b[:]) })
		x := &masticproto.BegunStreams{Software: software}
		for _, k := range all {
			x.Keys = append(x.Keys, k[:]...)
		}
		out = append(out, x)
	}
	return out
}

func decodeRecords(into map[masticcall.StreamKey]string, all []*masticproto.BegunStreams) {
	for _, x := range all {
		for k := range keys(x.GetKeys()) {
			into[k] = x.GetSoftware()
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
