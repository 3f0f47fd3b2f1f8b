package masticlease

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkGrantor(b *testing.B) {
	for _, hosts := range []int{16, 150, 450} {
		g := NewGrantor(begin, 1, 1, WithLeaseLifetime(leaseLifetime))
		renewals := make([]Renewal, hosts)
		for i := range renewals {
			renewals[i] = Renewal{ID: 1, Host: fmt.Sprint("host", i), Incarnation: "1", Acknowledged: 1}
			g.Renew(begin, begin.Add(time.Hour), renewals[i])
		}
		b.Run(fmt.Sprintf("renew/%d", hosts), func(b *testing.B) {
			i := 0
			for b.Loop() {
				i++
				g.Renew(begin, begin.Add(time.Hour), renewals[i%hosts])
			}
		})
		b.Run(fmt.Sprintf("inForce/%d", hosts), func(b *testing.B) {
			for b.Loop() {
				g.InForce(begin.Add(leaseLifetime/2), 1)
			}
		})
	}
}
