package masticagent

import (
	"math"
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// pendingOriginBatch is a batch that was not answered yet, with the records and questions that it holds.
type pendingOriginBatch struct {
	command *masticproto.StreamOrigins
	records map[masticcall.StreamKey]*originRecord
	ended   []masticcall.StreamKey
	asked   []*originQuestion
}

// encode returns the command of the batch without its sequence.
func (b *pendingOriginBatch) encode(now time.Time) *masticproto.StreamOrigins {
	out := &masticproto.StreamOrigins{}
	bySoftware := map[string]*masticproto.BegunStreams{}
	for k, r := range b.records {
		x, ok := bySoftware[r.software]
		if !ok {
			x = &masticproto.BegunStreams{Software: r.software}
			bySoftware[r.software] = x
			out.Begun = append(out.Begun, x)
		}
		x.Keys = append(x.Keys, k[:]...)
		x.LifetimesMs = append(x.LifetimesMs, lifetimeMs(r.deadline.Sub(now)+takeUpTransit))
	}
	for _, k := range b.ended {
		out.Ended = append(out.Ended, k[:]...)
	}
	for _, q := range b.asked {
		out.Asked = append(out.Asked, &masticproto.AskedStream{Key: q.encodedKey(), Service: q.service})
	}
	return out
}

// lifetimeMs returns a time in milliseconds, rounded up.
func lifetimeMs(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()+1), math.MaxUint32))
}
