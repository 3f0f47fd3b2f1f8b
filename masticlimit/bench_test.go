package masticlimit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReports measures one host's round of reports: its own for all hosts, and those of all hosts.
func BenchmarkReports(b *testing.B) {
	for _, x := range []struct{ hosts, servers int }{{7, 2}, {85, 9}, {85, 90}, {450, 90}, {450, 540}} {
		b.Run(fmt.Sprintf("%d hosts, %d limited servers", x.hosts, x.servers), func(b *testing.B) {
			var hosts []Host
			for i := range x.hosts {
				hosts = append(hosts, Host{Name: fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250), Weight: 1})
			}
			s := New(hosts[0].Name, listedAs("1764800000000"))
			s.SetHosts(hosts)
			for i := range x.servers {
				s.Observe(simStart, fmt.Sprintf("i-%08d", i), "1764800000000", Observation{Limited: true, RequestsPerSecond: 2, SentAt: simStart})
			}
			now := simStart
			for b.Loop() {
				now = now.Add(240 * time.Millisecond)
				reports := s.Reports(now)
				r := reports[hosts[1].Name]
				for _, h := range hosts[1:] {
					r.Host = h.Name
					s.Receive(now, r)
				}
			}
			b.ReportMetric(float64(len(s.Reports(now)[hosts[1].Name].Demands)), "demands")
		})
	}
}
