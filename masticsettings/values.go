package masticsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// checkValues checks each value and the combinations of values.
func checkValues(s *shape, v Settings) Problems {
	s.problems = nil
	err := newValidator().Struct(v)
	var faults validator.ValidationErrors
	if errors.As(err, &faults) {
		for _, f := range faults {
			path := "$." + strings.SplitN(f.Namespace(), ".", 2)[1]
			s.report(path, valueMessage(f))
		}
	}
	if len(s.problems) == 0 {
		s.checkCombinations(v)
	}
	return s.sorted()
}

func (s *shape) report(path, message string) {
	s.problems = append(s.problems, Problem{s.name, s.lineOf(path), path, message})
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	_ = v.RegisterValidation("ip_port", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
}

func valueMessage(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing"
	case "oneof":
		return fmt.Sprintf("is %q, must be one of: %s", f.Value(), f.Param())
	case "ip_port":
		return fmt.Sprintf("is %q, must be IP:port, without a host name", f.Value())
	case "unique":
		return "holds the same item twice"
	case "gte":
		return fmt.Sprintf("is %v, must be at least %s", f.Value(), f.Param())
	case "lte":
		return fmt.Sprintf("is %v, must be at most %s", f.Value(), f.Param())
	case "max":
		return fmt.Sprintf("is longer than %s characters", f.Param())
	case "len", "hexadecimal":
		return "must be a SHA-256 digest in hexadecimal"
	default:
		return "does not satisfy " + f.Tag()
	}
}

func (s *shape) checkCombinations(v Settings) {
	s.checkControl(v)
	s.checkZones(v)
	s.checkTiming(v.Timing)
	s.checkTLS(v)
	if len(v.OperatorKeys) == 0 && !isLoopback(v.Admin) {
		s.report("$.admin", "is not a loopback address, so operatorKeys must hold at least one digest")
	}
	if v.Listen == v.Admin || v.Listen == v.Peer || v.Admin == v.Peer {
		s.report("$.listen", "listen, admin and peer must be three different addresses")
	}
}

func (s *shape) checkControl(v Settings) {
	if len(v.Control)%2 == 0 {
		s.report("$.control", fmt.Sprintf("lists %d hosts; an odd number is needed, so that a cut leaves a majority on one side", len(v.Control)))
	}
	listed := false
	for i, c := range v.Control {
		if c.Host != v.Host {
			continue
		}
		listed = true
		if c.Peer != v.Peer {
			s.report(fmt.Sprintf("$.control[%d].peer", i), fmt.Sprintf("is %q, but this host's peer address is %q", c.Peer, v.Peer))
		}
	}
	if v.Has(RoleControl) && v.DataFolder == "" {
		s.report("$.dataFolder", "is missing; a host with role control keeps its log there")
	}
	if listed && !v.Has(RoleControl) {
		s.report("$.roles", "must hold control, since this host is listed in control")
	}
}

// checkZones checks that every host stands in a listed zone with room for it, and that the
// loss of one zone leaves a majority of the control hosts.
func (s *shape) checkZones(v Settings) {
	if len(v.Zones) == 0 {
		return
	}
	room := map[string]int{}
	for _, z := range v.Zones {
		room[z.Name] = z.Hosts
	}
	if room[v.Zone] == 0 {
		s.report("$.zone", fmt.Sprintf("is %q, which zones does not list", v.Zone))
	}
	voters := map[string]int{}
	for i, c := range v.Control {
		voters[c.Zone]++
		if voters[c.Zone] > room[c.Zone] {
			s.report(fmt.Sprintf("$.control[%d].zone", i), fmt.Sprintf("is %q, which zones does not list with enough hosts", c.Zone))
		}
		if len(v.Zones) > 1 && len(v.Control) > 1 && 2*voters[c.Zone] > len(v.Control) {
			s.report(fmt.Sprintf("$.control[%d].zone", i), fmt.Sprintf("is %q, which would hold a majority of the control hosts", c.Zone))
		}
	}
}

func (s *shape) checkTiming(t Timing) {
	if t.ElectionMillis < 3*t.HeartbeatMillis {
		s.report("$.timing.electionMillis", fmt.Sprintf("is %d, must be at least three heartbeats (%d)", t.ElectionMillis, 3*t.HeartbeatMillis))
	}
	if t.ViewLeaseMillis < t.ElectionMillis {
		s.report("$.timing.viewLeaseMillis", "is shorter than electionMillis, so each change of leader would refuse callers")
	}
}

func (s *shape) checkTLS(v Settings) {
	t := v.TLS
	if t.Plain {
		return
	}
	need := []struct{ path, value string }{
		{"certificate", t.Certificate},
		{"key", t.Key},
		{"peerCertificate", t.PeerCertificate},
		{"peerKey", t.PeerKey},
		{"peerAuthority", t.PeerAuthority},
	}
	for _, n := range need {
		if n.value == "" {
			s.report("$.tls."+n.path, "is missing; state plain: true to run without encryption")
		}
	}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
