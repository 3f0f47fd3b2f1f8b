package masticledger

import (
	"slices"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// bodies tracks the stored answer bodies: the orders that have one, oldest first, and the
// size of all of them in bytes.
type bodies struct {
	// queue may also contain orders whose body was evicted; see compactBodyQueue.
	queue    []orderID
	bytes    int
	sequence uint64
}

// storeAnswer returns a copy of a with its body truncated to MaxAnswerBytes, and adds the
// body to the queue.
func (g *Ledger) storeAnswer(id orderID, o *order, a *masticproto.StoredAnswer) *masticcall.StoredAnswer {
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
	o.bodySequence = g.bodies.sequence
	g.bodies.bytes += len(out.Body)
	g.bodies.queue = append(g.bodies.queue, id)
	return out
}

// evictBodies removes the oldest bodies until the limit holds. Their answers keep the
// status and the content type.
func (g *Ledger) evictBodies() {
	for g.bodies.bytes > g.limits.BodyBytes && len(g.bodies.queue) > 0 {
		id := g.bodies.queue[0]
		g.bodies.queue = g.bodies.queue[1:]
		o, ok := g.orders[id]
		if !ok || o.bodySequence == 0 {
			continue
		}
		g.bodies.bytes -= len(o.answer.Body)
		o.answer = &masticcall.StoredAnswer{Status: o.answer.Status, ContentType: o.answer.ContentType, Truncated: true}
		o.bodySequence = 0
		g.orders[id] = o
	}
}

// compactBodyQueue removes the orders without a body from a queue that has grown too long.
func (g *Ledger) compactBodyQueue() {
	q := &g.bodies
	if len(q.queue) > 2*len(g.orders)+1024 {
		q.queue = slices.DeleteFunc(q.queue, g.hasNoBody)
	}
}

func (g *Ledger) hasNoBody(id orderID) bool { return g.orders[id].bodySequence == 0 }
