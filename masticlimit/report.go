package masticlimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// statementSends is the number of reports that carry a new statement. maxNewStatements bounds the new
	// statements of one report. Known limits are repeated in turn for hosts that started later, which hear
	// them from all others: maxRepeated in each report.
	statementSends   = 3
	maxNewStatements = 16
	maxRepeated      = 2
)

// Report is what one host tells another. Reports must arrive in order and at most once; one that is
// lost costs the tokens in it.
type Report struct {
	Host       string
	Statements []Statement
	Demands    []Demand
	Grants     []Grant
}

// Demand is a host's report to the allocator of a backend server.
type Demand struct {
	Server string
	// PerSecond is the rate of requests for which the server was considered.
	PerSecond float64
	// Held is the number of tokens that the host has, Returned that of tokens that it gave up since
	// its last report.
	Held, Returned int64
}

// Grant gives tokens for a backend server to a host.
type Grant struct {
	Server string
	Tokens int64
}

// Reports returns the reports to send, by host. There are none while no server states a limit.
func (s *Sharer) Reports(now time.Time) map[string]Report {
	s.advance(now)
	if len(s.servers) == 0 {
		return nil
	}
	statements := s.takeStatements()
	if len(statements) == 0 {
		return nil
	}
	out := map[string]Report{}
	for _, h := range s.hosts {
		if h.Name != s.host {
			out[h.Name] = Report{Host: s.host, Statements: statements}
		}
	}
	for _, name := range s.names {
		s.addTo(out, name, s.servers[name])
	}
	return out
}

// addTo adds this host's demand for a server, or its grants, to the reports.
func (s *Sharer) addTo(out map[string]Report, name string, x *server) {
	if !x.statement.Limited {
		return
	}
	if x.allocation == nil {
		if r, ok := out[x.allocator]; ok {
			r.Demands = append(r.Demands, Demand{Server: name, PerSecond: x.demand.perSecond, Held: x.held(), Returned: x.takeReturned()})
			out[x.allocator] = r
		}
		return
	}
	for _, host := range x.allocation.names {
		if r, ok := out[host]; ok {
			if n := x.allocation.followers[host].takeUnsent(); n > 0 {
				r.Grants = append(r.Grants, Grant{Server: name, Tokens: n})
				out[host] = r
			}
		}
	}
}

// takeStatements returns the new statements and, in turn, some of the limits.
func (s *Sharer) takeStatements() []Statement {
	var out []Statement
	for _, name := range s.names {
		if x := s.servers[name]; x.unsent > 0 && len(out) < maxNewStatements {
			x.unsent--
			out = append(out, x.statement)
		}
	}
	repeated := 0
	for range s.names {
		if repeated == maxRepeated {
			break
		}
		s.nextStatement = (s.nextStatement + 1) % len(s.names)
		if x := s.servers[s.names[s.nextStatement]]; x.statement.Limited && !slices.Contains(out, x.statement) {
			out = append(out, x.statement)
			repeated++
		}
	}
	return out
}

// Receive applies the report of another live or leaving host and returns the statements that it changed.
func (s *Sharer) Receive(now time.Time, r Report) []Statement {
	if r.Host == s.host || !slices.ContainsFunc(s.hosts, func(h Host) bool { return h.Name == r.Host }) {
		return nil
	}
	s.heardAt[r.Host] = now
	var changed []Statement
	for _, t := range r.Statements {
		if t = t.bounded(); s.merge(now, t) {
			changed = append(changed, t)
		}
	}
	s.advanceIfDue(now)
	for _, d := range r.Demands {
		if x, ok := s.servers[d.Server]; ok && x.allocation != nil {
			x.allocation.report(now, r.Host, d)
		}
	}
	for _, g := range r.Grants {
		if x, ok := s.servers[g.Server]; ok && x.statement.Limited && x.allocator == r.Host {
			x.addTokens(now, g.Tokens)
		}
	}
	return changed
}

// merge applies a statement that another host learned, and reports whether it changed this host's.
func (s *Sharer) merge(now time.Time, t Statement) bool {
	incarnation, ok := s.listed(t.Server)
	if !ok || incarnation != t.Incarnation {
		return false
	}
	x, known := s.servers[t.Server]
	switch {
	case !known:
		s.add(now, t)
		return t.Limited
	case t.supersedes(x.statement):
		x.replace(now, t)
		return true
	case x.statement.supersedes(t):
		x.unsent = max(x.unsent, 1)
	}
	return false
}

// add starts to track a server.
func (s *Sharer) add(now time.Time, t Statement) {
	x := &server{}
	x.replace(now, t)
	s.servers[t.Server] = x
	i, _ := slices.BinarySearchFunc(s.names, t.Server, cmp.Compare)
	s.names = slices.Insert(s.names, i, t.Server)
}
