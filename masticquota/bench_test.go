package masticquota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGrant requests grants round-robin over workspaces and, for each, over hosts.
func BenchmarkGrant(b *testing.B) {
	for _, workspaces := range []int{10, 100, 1100} {
		for _, hosts := range []int{4, 16, 64} {
			b.Run(fmt.Sprintf("%dworkspaces/%dhosts", workspaces, hosts), func(b *testing.B) {
				o := newTestOwner(Limit{RateTokensPerSecond: 1_000_000, BurstTokens: 10_000_000})
				names := make([]string, workspaces)
				for i := range names {
					names[i] = fmt.Sprint("workspace", i)
				}
				hostNames := make([]string, hosts)
				for i := range hostNames {
					hostNames[i] = fmt.Sprint("host", i)
				}
				now := begin.Add(time.Hour)
				step := 20 * time.Millisecond / time.Duration(workspaces*hosts)
				var id uint64
				b.ReportAllocs()
				for b.Loop() {
					id++
					now = now.Add(step)
					n := int(id)
					o.Grant(now, GrantRequest{ID: id, Host: hostNames[n/workspaces%hosts], Workspace: names[n%workspaces], WantTokens: 100})
				}
			})
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, workspaces := range []int{10, 100, 1100} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			o := newTestOwner(Limit{RateTokensPerSecond: 1_000_000_000, BurstTokens: 1_000_000_000_000})
			h := NewHolder("h", "1")
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("workspace", i)
			}
			now := begin.Add(time.Hour)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				now = now.Add(100 * time.Microsecond)
				d := h.Admit(now, names[i%workspaces], 1000, now.Add(time.Second))
				if i%50 == 0 {
					for _, r := range h.Requests(now) {
						h.Answer(now, o.Grant(now, r))
					}
				}
				h.Settle(now, d.Ticket, 500)
			}
		})
	}
}
