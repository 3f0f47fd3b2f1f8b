package masticview

import (
	"fmt"
	"testing"

	"masticladder/masticproto"
)

// workspaceCounts lists the sizes of the benchmarked views. Each workspace has one profile and nine
// keys.
var workspaceCounts = []int{100, 1100, 5000}

func newChange(workspaces int) *masticproto.ViewChange {
	c := &masticproto.ViewChange{}
	for i := range workspaces {
		w := fmt.Sprint("workspace", i)
		c.Workspaces = append(c.Workspaces, workspace(w))
		c.Profiles = append(c.Profiles, profile(w, w))
		for k := range 9 {
			c.Keys = append(c.Keys, key(fmt.Sprint(w, "key", k), w, w, "active"))
		}
	}
	return c
}

func BenchmarkApplyOneKey(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, err := View{}.Apply(newChange(n), startTime)
			if err != nil {
				b.Fatal(err)
			}
			oneKey := &masticproto.ViewChange{Keys: []*masticproto.Key{key("workspace7key3", "workspace7", "workspace7", "withdrawn")}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := v.Apply(oneKey, startTime); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkFromSnapshot(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, err := View{}.Apply(newChange(n), startTime)
			if err != nil {
				b.Fatal(err)
			}
			s := v.Snapshot()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := FromSnapshot(s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
