package masticview

import (
	"fmt"
	"testing"

	"masticladder/masticproto"
)

// sizes are numbers of workspaces, each with a profile and nine keys.
var sizes = []int{100, 1100, 5000}

func change(workspaces int) *masticproto.ViewChange {
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
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, err := View{}.Apply(change(n), begin)
			if err != nil {
				b.Fatal(err)
			}
			one := &masticproto.ViewChange{Keys: []*masticproto.Key{key("workspace7key3", "workspace7", "workspace7", "withdrawn")}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := v.Apply(one, begin); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkFromSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, err := View{}.Apply(change(n), begin)
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
