package masticagent

import (
	"math"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
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

// release allows the keys of a batch in others. The mutex is held.
func (o *origins) release(b *pendingOriginBatch) {
	delete(o.underWay, b.command.GetSequence())
	for k := range b.records {
		delete(o.busy, k)
	}
	for _, k := range b.ended {
		delete(o.busy, k)
	}
	if len(o.unsent) > 0 {
		o.signal()
	}
}

// requeue queues again what is still of use. The mutex is held.
func (o *origins) requeue(b *pendingOriginBatch) {
	for k, r := range b.records {
		if o.records[k] == r {
			o.unsent = append(o.unsent, k)
		}
	}
	o.asked = append(o.asked, b.asked...)
}

// acknowledge applies the answer to a batch. The mutex is held.
func (o *origins) acknowledge(now time.Time, b *pendingOriginBatch, answer *masticproto.CommandAnswer) {
	refused := answer.GetUnrecorded()
	const size = len(masticcall.StreamKey{})
	for ; len(refused) >= size; refused = refused[size:] {
		k := masticcall.StreamKey(refused[:size])
		if r, ok := b.records[k]; ok && !r.acknowledged {
			o.refuse(now, k, r)
			delete(b.records, k)
		}
	}
	for k, r := range b.records {
		o.confirm(k, r)
	}
	for i, q := range b.asked {
		if i < len(answer.GetOrigins()) {
			x := answer.GetOrigins()[i]
			q.answer <- masticcall.StreamOrigin{Software: x.GetSoftware(), Recorded: x.GetRecorded(), Unknown: x.GetUnknown()}
		}
	}
}

// refuse ends a record that the control group did not take. New streams begin at the base version for a time, since the next ones
// would be refused too. The mutex is held.
func (o *origins) refuse(now time.Time, k masticcall.StreamKey, r *originRecord) {
	r.err = masticerror.New(masticerror.KindOverloaded, "the control group has as many streams recorded as it may")
	close(r.done)
	if o.records[k] == r {
		delete(o.records, k)
	}
	o.fullUntil = now.Add(originCooldown)
}

// confirm applies that the control group has a record. The mutex is held.
func (o *origins) confirm(k masticcall.StreamKey, r *originRecord) {
	r.queued = false
	if !r.acknowledged {
		r.acknowledged = true
		close(r.done)
	}
	if o.records[k] != r {
		return
	}
	switch {
	case r.deadline.After(r.written):
		// It was extended meanwhile.
		o.queue(k, r)
	case r.ended:
		delete(o.records, k)
	}
}
