package masticsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// checkValues validates each value and, if all are valid, the combinations of values.
func checkValues(s *schemaChecker, v Settings) Problems {
	s.problems = nil
	err := newValidator().Struct(v)
	var fieldErrors validator.ValidationErrors
	if errors.As(err, &fieldErrors) {
		for _, f := range fieldErrors {
			path := "$." + strings.SplitN(f.Namespace(), ".", 2)[1]
			s.addAtPath(path, valueMessage(f))
		}
	}
	if len(s.problems) == 0 {
		s.checkCombinations(v)
	}
	return s.sortedProblems()
}

func (s *schemaChecker) addAtPath(path, message string) {
	s.problems = append(s.problems, Problem{s.file, s.lineOf(path), path, message})
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

func (s *schemaChecker) checkCombinations(v Settings) {
	s.checkControl(v)
	s.checkZones(v)
	s.checkTiming(v.Timing)
	s.checkTLS(v)
	if len(v.OperatorKeys) == 0 && !isLoopback(v.Admin) {
		s.addAtPath("$.admin", "is not a loopback address, so operatorKeys must hold at least one digest")
	}
	if v.Listen == v.Admin || v.Listen == v.Peer || v.Admin == v.Peer {
		s.addAtPath("$.listen", "listen, admin and peer must be three different addresses")
	}
}

func (s *schemaChecker) checkControl(v Settings) {
	if len(v.Control)%2 == 0 {
		s.addAtPath("$.control", fmt.Sprintf("lists %d hosts; an odd number is needed, so that a cut leaves a majority on one side", len(v.Control)))
	}
	listed := false
	for i, c := range v.Control {
		if c.Host != v.Host {
			continue
		}
		listed = true
		if c.Peer != v.Peer {
			s.addAtPath(fmt.Sprintf("$.control[%d].peer", i), fmt.Sprintf("is %q, but this host's peer address is %q", c.Peer, v.Peer))
		}
	}
	if v.Has(RoleControl) && v.DataFolder == "" {
		s.addAtPath("$.dataFolder", "is missing; a host with role control keeps its log there")
	}
	if listed && !v.Has(RoleControl) {
		s.addAtPath("$.roles", "must hold control, since this host is listed in control")
	}
}

// checkZones checks that this host and every control host are in a listed zone, that no zone has
// more control hosts than hosts, and that the loss of one zone leaves a majority of the control
// hosts.
func (s *schemaChecker) checkZones(v Settings) {
	if len(v.Zones) == 0 {
		return
	}
	hostsByZone := map[string]int{}
	for _, z := range v.Zones {
		hostsByZone[z.Name] = z.Hosts
	}
	if hostsByZone[v.Zone] == 0 {
		s.addAtPath("$.zone", fmt.Sprintf("is %q, which zones does not list", v.Zone))
	}
	voters := map[string]int{}
	for i, c := range v.Control {
		voters[c.Zone]++
		if voters[c.Zone] > hostsByZone[c.Zone] {
			s.addAtPath(fmt.Sprintf("$.control[%d].zone", i), fmt.Sprintf("is %q, which zones does not list with enough hosts", c.Zone))
		}
		if len(v.Zones) > 1 && len(v.Control) > 1 && 2*voters[c.Zone] > len(v.Control) {
			s.addAtPath(fmt.Sprintf("$.control[%d].zone", i), fmt.Sprintf("is %q, which would hold a majority of the control hosts", c.Zone))
		}
	}
}

func (s *schemaChecker) checkTiming(t Timing) {
	if t.ElectionMillis < 3*t.HeartbeatMillis {
		s.addAtPath("$.timing.electionMillis", fmt.Sprintf("is %d, must be at least three heartbeats (%d)", t.ElectionMillis, 3*t.HeartbeatMillis))
	}
	if t.ViewLeaseMillis < t.ElectionMillis {
		s.addAtPath("$.timing.viewLeaseMillis", "is shorter than electionMillis, so each change of leader would refuse callers")
	}
}

func (s *schemaChecker) checkTLS(v Settings) {
	t := v.TLS
	if t.Plain {
		return
	}
	required := []struct{ path, value string }{
		{"certificate", t.Certificate},
		{"key", t.Key},
		{"peerCertificate", t.PeerCertificate},
		{"peerKey", t.PeerKey},
		{"peerAuthority", t.PeerAuthority},
	}
	for _, n := range required {
		if n.value == "" {
			s.addAtPath("$.tls."+n.path, "is missing; state plain: true to run without encryption")
		}
	}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
