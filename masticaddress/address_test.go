package masticaddress

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticcall"
	"masticladder/masticview"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var states = []masticview.HostState{masticview.HostLive, masticview.HostLeaving, masticview.HostRetired}

func drawView(t *rapid.T) masticview.View {
	var v masticview.View
	for i := range rapid.IntRange(0, 12).Draw(t, "hosts") {
		v = v.WithHost(masticview.Host{
			Name: fmt.Sprintf("host%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Weight: int64(rapid.IntRange(1, 8).Draw(t, "weight")),
			State: rapid.SampledFrom(states).Draw(t, "state"),
		})
	}
	return v
}

func listAddresses(v masticview.View, workspace string) []string {
	a := New(func() masticview.View { return v })
	list, _ := a.For(workspace, time.Unix(0, 0))
	return addressStrings(list)
}

func addressStrings(list []masticcall.Address) []string {
	var out []string
	for _, l := range list {
		out = append(out, l.Address)
	}
	return out
}

func TestListHasOnlyLiveHostsUpToHostCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		listed := listAddresses(v, rapid.StringN(0, 8, 16).Draw(t, "workspace"))
		live := 0
		for _, h := range v.Hosts() {
			if h.State == masticview.HostLive {
				live++
			} else if slices.Contains(listed, h.Address) {
				t.Fatalf("host %s is %s but listed", h.Name, h.State)
			}
		}
		if len(listed) != min(live, defaultHostCount) {
			t.Fatalf("%d hosts are live, %d listed", live, len(listed))
		}
	})
}

func TestListIsStableWhenUnlistedHostLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		workspace := rapid.StringN(0, 8, 16).Draw(t, "workspace")
		before := listAddresses(v, workspace)
		for _, h := range v.Hosts() {
			if slices.Contains(before, h.Address) {
				continue
			}
			h.State = masticview.HostLeaving
			if after := listAddresses(v.WithHost(h), workspace); !slices.Equal(before, after) {
				t.Fatalf("%s left: %v became %v", h.Name, before, after)
			}
		}
	})
}

func TestListIsValidForTTL(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	_, until := New(func() masticview.View { return masticview.View{} }, WithTTL(3*time.Second)).For("mill", now)
	c.Assert(until, qt.Equals, now.Add(3*time.Second))
}
