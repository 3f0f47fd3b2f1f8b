package masticcontrol

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"masticladder/masticproto"
	"masticladder/masticstate"
)

// BenchmarkRegisterHosts applies the registration of all hosts of a site, one change each.
func BenchmarkRegisterHosts(b *testing.B) {
	for _, hosts := range []int{57, 291, 450} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				l := &loop{settings: settings{log: logrus.New()}, state: masticstate.New()}
				for i := range hosts {
					publishTo(l, fmt.Sprint("host", i), &masticproto.ViewChange{Hosts: []*masticproto.Host{{
						Name: fmt.Sprint("host", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Peer: fmt.Sprintf("10.0.%d.%d:81", i/250, i%250), Zone: "z", Weight: 20, State: "live",
					}}})
				}
			}
		})
	}
}
