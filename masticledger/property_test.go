package masticledger

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "400")
}

var startTime = time.Unix(1_800_000_000, 0)

// pick draws one element of from with equal probability. rapid's generators
// favour the first elements.
func pick[T any](t *rapid.T, label string, from ...T) T {
	n := 0
	for range 5 {
		n *= 2
		if rapid.Bool().Draw(t, label) {
			n++
		}
	}
	return from[n%len(from)]
}

// attempt is one attempt of a daemon to run an order.
type attempt struct {
	host, incarnation string
	number            uint64
	key               int
	deadline          time.Time
	// dispatched and released exclude each other: a daemon that has sent a byte never releases.
	dispatched, released, crashed bool
}

// cluster simulates daemons that crash, resend, time out and compete for a few orders.
type cluster struct {
	t   *rapid.T
	now time.Time
	// ledger is repeatedly replaced by its restored snapshot, reference never.
	ledger, reference *Ledger
	limits            Limits
	// lastAnswers is the last answer that a caller received for each key.
	lastAnswers  map[int]masticcall.Reservation
	keys         []string
	dispatches   map[int]int
	attempts     []*attempt
	incarnations [2]int
	network      []message
}

// message is a command that is delivered to the log at a given time.
type message struct {
	at      time.Time
	from    *attempt
	reserve *masticproto.Reserve
	release *masticproto.Release
	record  *masticproto.Record
}

func newCluster(t *rapid.T) *cluster {
	limits := Limits{Orders: 100, WorkspaceOrders: 90, OpaqueKeys: 100, WorkspaceOpaqueKeys: pick(t, "opaque keys", 2, 100), BodyBytes: 10}
	c := &cluster{
		t: t, now: startTime, limits: limits, ledger: New(WithLimits(limits)), reference: New(WithLimits(limits)),
		lastAnswers: make(map[int]masticcall.Reservation), dispatches: make(map[int]int),
	}
	c.keys = []string{"opaque-1", "opaque-2", uuidAt(startTime), uuidAt(startTime.Add(-time.Minute)), uuidAt(startTime.Add(time.Hour))}
	return c
}

// uuidAt returns a UUIDv7 with timestamp t.
func uuidAt(t time.Time) string {
	ms := t.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", ms>>16, ms&0xffff)
}

func digestOf(k int) masticview.Digest { return masticview.DigestOf([]byte{byte(k)}) }

// startAttempt starts an attempt for a caller that sends or resends key k.
func (c *cluster) startAttempt(k int) {
	h := pick(c.t, "host", 0, 1)
	a := &attempt{
		host: fmt.Sprint("h", h), incarnation: fmt.Sprint(c.incarnations[h]), number: uint64(len(c.attempts) + 1), key: k,
		deadline: c.now.Add(pick(c.t, "deadline", time.Second, time.Minute)),
	}
	c.attempts = append(c.attempts, a)
	d := digestOf(k)
	c.send(message{from: a, reserve: &masticproto.Reserve{
		Workspace: "mill", IdempotencyKey: c.keys[k], RequestDigest: d[:], Host: a.host, Incarnation: a.incarnation,
		Attempt: a.number, DeadlineUnixMs: a.deadline.UnixMilli(), RetainUntilUnixMs: c.now.Add(time.Hour).UnixMilli(),
	}})
}

// send loses, duplicates and delays m at random.
func (c *cluster) send(m message) {
	for range pick(c.t, "copies", 0, 1, 1, 1, 1, 1, 2, 2) {
		m.at = c.now.Add(time.Duration(pick(c.t, "delay ms", 0, 0, 0, 0, 10, 500, 3000, 100_000)) * time.Millisecond)
		c.network = append(c.network, m)
	}
}

func (c *cluster) deliver() {
	due := c.network
	c.network = nil
	for _, m := range due {
		if m.at.After(c.now) {
			c.network = append(c.network, m)
			continue
		}
		c.apply(m)
	}
}

// apply commits m on both replicas. The answer to a Reserve may be lost; the attempt then
// dispatches nothing.
func (c *cluster) apply(m message) {
	c.ledger.Expire(c.now)
	c.reference.Expire(c.now)
	switch {
	case m.release != nil:
		c.requireEqual(c.ledger.Release(c.now, m.release), c.reference.Release(c.now, m.release))
	case m.record != nil:
		c.requireEqual(c.ledger.Record(m.record), c.reference.Record(m.record))
	default:
		r, err := c.ledger.Reserve(c.now, m.reserve)
		r2, err2 := c.reference.Reserve(c.now, m.reserve)
		c.requireEqual(fmt.Sprint(r, err), fmt.Sprint(r2, err2))
		if err == nil {
			c.checkAnswer(m.from, r)
		}
	}
}

func (c *cluster) requireEqual(a, b any) {
	if a != b {
		c.t.Fatalf("the restored replica returned %v, the reference %v", a, b)
	}
}

// checkAnswer checks the answer to a caller against the earlier answers for the same key.
func (c *cluster) checkAnswer(a *attempt, r masticcall.Reservation) {
	previous := c.lastAnswers[a.key]
	switch {
	case previous.State == masticcall.OrderDone && (r.State != masticcall.OrderDone || !sameAnswer(previous.Answer, r.Answer)):
		c.t.Fatalf("key %q had the answer %v, now %v", c.keys[a.key], previous, r)
	case previous.State == masticcall.OrderUnknown && r.State != masticcall.OrderDone && r.State != masticcall.OrderUnknown:
		c.t.Fatalf("key %q was unknown, now it is %s", c.keys[a.key], r.State)
	}
	c.lastAnswers[a.key] = r
	if r.State == masticcall.OrderReserved && pick(c.t, "answered", true, true, true, false) {
		c.onReserved(a)
	}
}

// sameAnswer reports whether b equals a, or equals a without its evicted body.
func sameAnswer(a, b masticcall.StoredAnswer) bool {
	return a.Status == b.Status && (bytes.Equal(a.Body, b.Body) || (b.Truncated && len(b.Body) == 0))
}

// onReserved is the step of a daemon that has the right to dispatch: it dispatches at most
// once, or releases the reservation without having dispatched.
func (c *cluster) onReserved(a *attempt) {
	if a.crashed || a.dispatched || a.released {
		return
	}
	if pick(c.t, "dispatch", true, true, false) {
		a.dispatched = true
		c.dispatches[a.key]++
		if c.dispatches[a.key] > 1 {
			c.t.Fatalf("key %q was dispatched twice", c.keys[a.key])
		}
		return
	}
	c.release(a)
}

// release releases an attempt that has not run.
func (c *cluster) release(a *attempt) {
	a.released = true
	c.send(message{from: a, release: &masticproto.Release{
		Workspace: "mill", IdempotencyKey: c.keys[a.key], Host: a.host, Incarnation: a.incarnation, Attempt: a.number,
	}})
}

// finish ends an attempt: with an answer, an unknown outcome or, if it has not dispatched,
// a release after its Reserve timed out.
func (c *cluster) finish(a *attempt) {
	if a.crashed {
		return
	}
	if !a.dispatched {
		c.release(a)
		return
	}
	r := &masticproto.Record{
		Workspace: "mill", IdempotencyKey: c.keys[a.key], Host: a.host, Incarnation: a.incarnation, Attempt: a.number,
		Unknown: pick(c.t, "unknown", true, false, false),
		Answer:  &masticproto.StoredAnswer{Status: 200, Body: fmt.Append(nil, "b", a.number)},
	}
	c.send(message{from: a, record: r})
}

// crash ends the incarnation of a host and all its attempts.
func (c *cluster) crash() {
	h := pick(c.t, "crashed", 0, 1)
	for _, a := range c.attempts {
		if a.host == fmt.Sprint("h", h) {
			a.crashed = true
		}
	}
	c.incarnations[h]++
}

// restore replaces the ledger by its restored snapshot and requires that the snapshots of
// both replicas are equal.
func (c *cluster) restore() {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.ledger.Freeze().Snapshot())
	if err != nil {
		c.t.Fatal(err)
	}
	if referenceSnapshot, _ := (proto.MarshalOptions{Deterministic: true}).Marshal(c.reference.Freeze().Snapshot()); !bytes.Equal(b, referenceSnapshot) {
		c.t.Fatal("the replicas differ")
	}
	p := &masticproto.LedgerSnapshot{}
	if err := proto.Unmarshal(b, p); err != nil {
		c.t.Fatal(err)
	}
	g, err := Restore(p, WithLimits(c.limits))
	if err != nil {
		c.t.Fatal(err)
	}
	c.ledger = g
}

func (c *cluster) step() {
	pass := pick(c.t, "pass", 0, 0, 0, time.Millisecond, time.Second, 20*time.Second, 50*time.Minute)
	c.now = c.now.Add(pass)
	c.deliver()
	switch pick(c.t, "action", "crash", "restore", "finish", "finish", "begin", "begin", "begin") {
	case "crash":
		c.crash()
	case "restore":
		c.restore()
	case "finish":
		if len(c.attempts) > 0 {
			c.finish(c.attempts[max(0, len(c.attempts)-pick(c.t, "which", 1, 1, 2, 3, 5))])
		}
	default:
		c.startAttempt(pick(c.t, "key", 0, 1, 2, 3, 4))
	}
	c.deliver()
}

// TestDispatchedAtMostOnce guards against a second dispatch of an order and against
// answers that change, under crashes, restores and lost, duplicated or delayed messages.
func TestDispatchedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range 100 {
			c.step()
		}
	})
}
