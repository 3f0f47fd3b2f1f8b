package main

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

// isolated is a fleet whose hosts reach one another only through relays.
type isolated struct {
	fleet  []*process
	relays []*relay
}

// startIsolatable starts three hosts with a relay before each of them.
func startIsolatable(t *testing.T) (*isolated, *backends) {
	b := startBackends(t)
	x := &isolated{fleet: newFleet(t, 3)}
	for i, p := range x.fleet {
		p.peerListen = freeAddressOn(t, fmt.Sprintf("127.0.0.%d", i+1))
		x.relays = append(x.relays, newRelay(t, p.peer, p.peerListen))
	}
	for i, p := range x.fleet {
		p.writeSettings(i, x.fleet)
		p.start()
	}
	publishUntilAccepted(t, x.fleet, "first", b.change)
	for _, p := range x.fleet {
		waitServing(t, p)
	}
	return x, b
}

// isolate cuts one host off from the others, without closing a connection.
func (x *isolated) isolate(p *process) {
	for i, q := range x.fleet {
		for j := range x.fleet {
			if i != j && (q == p || x.fleet[j] == p) {
				x.relays[i].cut(fmt.Sprintf("127.0.0.%d", j+1))
			}
		}
	}
}

func (x *isolated) heal() {
	for _, r := range x.relays {
		r.heal()
	}
}

func (x *isolated) without(p *process) []*process {
	var others []*process
	for _, q := range x.fleet {
		if q != p {
			others = append(others, q)
		}
	}
	return others
}

// testIsolated cuts a host off, withdraws the key through the others and heals the cut.
func testIsolated(t *testing.T, pick func(leader *process, x *isolated) *process) {
	c := qt.New(t)
	x, _ := startIsolatable(t)
	lonely := pick(waitLeader(t, x.fleet...), x)
	others := x.without(lonely)
	x.isolate(lonely)
	waitLeader(t, others...)
	withdrawEverywhere(t, others[0], "withdraw-isolated")
	for range 20 {
		a := lonely.chat(testKey, "withdrawn while isolated")
		c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", a.body))
		c.Assert(a.body, qt.Contains, `"kind":"noLease"`)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := lonely.client().Publish(ctx, &masticproto.Publish{RequestId: "lonely", Change: profileChange(7)})
	c.Assert(err, qt.IsNotNil)
	x.heal()
	waitFor(t, "the healed host refuses the key itself", func() bool {
		return lonely.chat(testKey, "withdrawn").status == http.StatusUnauthorized
	})
}

func TestIsolatedLeaderServesNoWithdrawnKey(t *testing.T) {
	testIsolated(t, func(leader *process, _ *isolated) *process { return leader })
}

func TestIsolatedFollowerServesNoWithdrawnKey(t *testing.T) {
	testIsolated(t, func(leader *process, x *isolated) *process { return x.without(leader)[0] })
}
