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

var begin = time.Unix(1_800_000_000, 0)

// pick draws one of from, each as likely as the others; rapid favours the first ones.
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

// attempt is one daemon's try to run an order.
type attempt struct {
	host, incarnation string
	number            uint64
	key               int
	deadline          time.Time
	// dispatched and released exclude each other: a daemon that sent a byte never releases.
	dispatched, released, gone bool
}

// cluster is daemons that crash, resend, time out and race for a few orders.
type cluster struct {
	t   *rapid.T
	now time.Time
	// ledger is restored now and then, twin never.
	ledger, twin *Ledger
	limits       Limits
	// answered is what callers were told last of each key.
	answered   map[int]masticcall.Reservation
	keys       []string
	dispatches map[int]int
	attempts   []*attempt
	born       [2]int
	network    []message
}

// message is a command on its way to the log, for delivery at a time.
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
		t: t, now: begin, limits: limits, ledger: New(WithLimits(limits)), twin: New(WithLimits(limits)),
		answered: make(map[int]masticcall.Reservation), dispatches: make(map[int]int),
	}
	c.keys = []string{"opaque-1", "opaque-2", uuidAt(begin), uuidAt(begin.Add(-time.Minute)), uuidAt(begin.Add(time.Hour))}
	return c
}

// uuidAt returns a UUIDv7 that bears t.
func uuidAt(t time.Time) string {
	ms := t.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", ms>>16, ms&0xffff)
}

func digestOf(k int) masticview.Digest { return masticview.DigestOf([]byte{byte(k)}) }

// begin starts an attempt for a caller that sends key k, or sends it again.
func (c *cluster) begin(k int) {
	h := pick(c.t, "host", 0, 1)
	a := &attempt{
		host: fmt.Sprint("h", h), incarnation: fmt.Sprint(c.born[h]), number: uint64(len(c.attempts) + 1), key: k,
		deadline: c.now.Add(pick(c.t, "deadline", time.Second, time.Minute)),
	}
	c.attempts = append(c.attempts, a)
	d := digestOf(k)
	c.send(message{from: a, reserve: &masticproto.Reserve{
		Workspace: "mill", IdempotencyKey: c.keys[k], RequestDigest: d[:], Host: a.host, Incarnation: a.incarnation,
		Attempt: a.number, DeadlineUnixMs: a.deadline.UnixMilli(), RetainUntilUnixMs: c.now.Add(time.Hour).UnixMilli(),
	}})
}

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

// apply commits m on both replicas. The answer to a Reserve may be lost; then the attempt
// dispatches nothing.
func (c *cluster) apply(m message) {
	c.ledger.Drop(c.now)
	c.twin.Drop(c.now)
	switch {
	case m.release != nil:
		c.same(c.ledger.Release(c.now, m.release), c.twin.Release(c.now, m.release))
	case m.record != nil:
		c.same(c.ledger.Record(m.record), c.twin.Record(m.record))
	default:
		r, err := c.ledger.Reserve(c.now, m.reserve)
		r2, err2 := c.twin.Reserve(c.now, m.reserve)
		c.same(fmt.Sprint(r, err), fmt.Sprint(r2, err2))
		if err == nil {
			c.told(m.from, r)
		}
	}
}

func (c *cluster) same(a, b any) {
	if a != b {
		c.t.Fatalf("the restored replica answers %v, the other %v", a, b)
	}
}

// told checks what a caller is told against what callers were told before.
func (c *cluster) told(a *attempt, r masticcall.Reservation) {
	former := c.answered[a.key]
	switch {
	case former.State == masticcall.OrderDone && (r.State != masticcall.OrderDone || !sameAnswer(former.Answer, r.Answer)):
		c.t.Fatalf("key %q had the answer %v, now %v", c.keys[a.key], former, r)
	case former.State == masticcall.OrderUnknown && r.State != masticcall.OrderDone && r.State != masticcall.OrderUnknown:
		c.t.Fatalf("key %q was unknown, now it is %s", c.keys[a.key], r.State)
	}
	c.answered[a.key] = r
	if r.State == masticcall.OrderReserved && pick(c.t, "answered", true, true, true, false) {
		c.reserved(a)
	}
}

// sameAnswer reports whether b is a, or what the bound on bodies left of it.
func sameAnswer(a, b masticcall.StoredAnswer) bool {
	return a.Status == b.Status && (bytes.Equal(a.Body, b.Body) || (b.Truncated && len(b.Body) == 0))
}

// reserved is the daemon's step when it has the right to dispatch: it does so at most once,
// or proves that it has not and releases.
func (c *cluster) reserved(a *attempt) {
	if a.gone || a.dispatched || a.released {
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

// release tells the caller that the attempt has not run and releases it.
func (c *cluster) release(a *attempt) {
	a.released = true
	c.send(message{from: a, release: &masticproto.Release{
		Workspace: "mill", IdempotencyKey: c.keys[a.key], Host: a.host, Incarnation: a.incarnation, Attempt: a.number,
	}})
}

// finish lets an attempt end: with an answer, an unknown outcome or a timeout of its Reserve.
func (c *cluster) finish(a *attempt) {
	if a.gone {
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

// crash ends an incarnation of a host and all its attempts.
func (c *cluster) crash() {
	h := pick(c.t, "crashed", 0, 1)
	for _, a := range c.attempts {
		if a.host == fmt.Sprint("h", h) {
			a.gone = true
		}
	}
	c.born[h]++
}

func (c *cluster) restore() {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.ledger.Freeze().Snapshot())
	if err != nil {
		c.t.Fatal(err)
	}
	if twin, _ := (proto.MarshalOptions{Deterministic: true}).Marshal(c.twin.Freeze().Snapshot()); !bytes.Equal(b, twin) {
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
		c.begin(pick(c.t, "key", 0, 1, 2, 3, 4))
	}
	c.deliver()
}

func TestDispatchedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range 100 {
			c.step()
		}
	})
}
