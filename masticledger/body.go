package masticledger

import (
	"slices"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// bodies bounds the kept bodies. Its queue holds the orders with one, the oldest first.
type bodies struct {
	queue    []orderID
	bytes    int
	sequence uint64
}

// keep returns the bounded copy of answer a.
func (g *Ledger) keep(id orderID, o *order, a *masticproto.StoredAnswer) *masticcall.StoredAnswer {
	out := &masticcall.StoredAnswer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Truncated: a.GetTruncated()}
	if len(a.GetBody()) == 0 {
		return out
	}
	out.Body = a.GetBody()
	if len(out.Body) > MaxAnswerBytes {
		out.Truncated = true
		out.Body = out.Body[:MaxAnswerBytes:MaxAnswerBytes]
	}
	g.bodies.sequence++
	o.bodyAt = g.bodies.sequence
	g.bodies.bytes += len(out.Body)
	g.bodies.queue = append(g.bodies.queue, id)
	return out
}

// cutBodies drops the oldest bodies over the bound. Their answers keep status and type.
func (g *Ledger) cutBodies() {
	for g.bodies.bytes > g.limits.BodyBytes && len(g.bodies.queue) > 0 {
		id := g.bodies.queue[0]
		g.bodies.queue = g.bodies.queue[1:]
		o, ok := g.orders[id]
		if !ok || o.bodyAt == 0 {
			continue
		}
		g.bodies.bytes -= len(o.answer.Body)
		o.answer = &masticcall.StoredAnswer{Status: o.answer.Status, ContentType: o.answer.ContentType, Truncated: true}
		o.bodyAt = 0
		g.orders[id] = o
	}
}

// forgetBodies removes the queue's entries that no longer stand for a body.
func (g *Ledger) forgetBodies() {
	q := &g.bodies
	if len(q.queue) > 2*len(g.orders)+1024 {
		q.queue = slices.DeleteFunc(q.queue, g.hasNoBody)
	}
}

func (g *Ledger) hasNoBody(id orderID) bool { return g.orders[id].bodyAt == 0 }
