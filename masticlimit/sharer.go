package masticlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hostTimeout is the time without a report after which another host counts as unreachable.
	hostTimeout = 1200 * time.Millisecond
	// advanceInterval is the least time between two allocations outside of Reports.
	advanceInterval = 10 * time.Millisecond
)

// Host is an entry host that sends requests to backend servers.
type Host struct {
	Name   string
	Weight int64
	// Leaving reports that the host is being stopped. It gets tokens for the requests that it still has,
	// and allocates none to others.
	Leaving bool
}

// Sharer is one host's state of the servers that state a limit. It is not safe for concurrent use.
type Sharer struct {
	host string
	// hosts are the live and leaving hosts, heardAt is when each host last sent a report.
	hosts   []Host
	heardAt map[string]time.Time
	listed  Listed
	servers map[string]*server
	// names are the keys of servers, sorted; nextStatement is the position of the last one that a
	// report repeated.
	names         []string
	nextStatement int
	advancedAt    time.Time
}

// Listed returns the incarnation of a backend server, and false if the server is not listed.
type Listed func(server string) (incarnation string, ok bool)

// New returns the state of the named host.
func New(host string, listed Listed) *Sharer {
	return &Sharer{host: host, listed: listed, heardAt: map[string]time.Time{}, servers: map[string]*server{}}
}

// SetHosts replaces the live and leaving hosts.
func (s *Sharer) SetHosts(hosts []Host) {
	s.hosts = hosts
	for _, x := range s.servers {
		x.ranking = nil
	}
	for name := range s.heardAt {
		if !slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == name }) {
			delete(s.heardAt, name)
		}
	}
}

// UpdateListed forgets the servers that are not listed any more. The limit of a server that has restarted holds until its
// first answer without one: the new process may have stated it before it was listed, and all hosts would send it requests
// without a limit until each has an answer.
func (s *Sharer) UpdateListed() {
	s.names = slices.DeleteFunc(s.names, func(name string) bool {
		incarnation, ok := s.listed(name)
		x := s.servers[name]
		if ok && (incarnation == x.statement.Incarnation || x.statement.Limited) {
			x.statement.Incarnation = incarnation
			return false
		}
		delete(s.servers, name)
		return true
	})
	s.nextStatement = 0
}

// Observe applies what an answer of a server stated, and reports whether that changed what is known of its limit. incarnation
// is the listed one when the request was sent. If another one is listed now, that may have answered: only a lower limit is
// taken from the answer.
func (s *Sharer) Observe(now time.Time, name, incarnation string, o Observation) bool {
	current, ok := s.listed(name)
	if !ok || current != incarnation && !s.Statement(name).WithRate(o).isLower(s.Statement(name)) {
		return false
	}
	incarnation = current
	if x, known := s.servers[name]; known {
		return x.observe(now, o)
	}
	first := Statement{Server: name, Incarnation: incarnation}.WithRate(o)
	if !first.Limited {
		return false
	}
	s.add(now, first)
	return true
}

// Statement returns what is known of the limit of a server.
func (s *Sharer) Statement(name string) Statement {
	if x, ok := s.servers[name]; ok {
		return x.statement
	}
	return Statement{Server: name}
}

// Limited returns the names of the servers that state a limit.
func (s *Sharer) Limited() []string {
	var out []string
	for _, name := range s.names {
		if s.servers[name].statement.Limited {
			out = append(out, name)
		}
	}
	return out
}

// Available reports whether this host may send a request to the server now. A request for which the
// server is considered counts as demand for it, whatever the result.
func (s *Sharer) Available(now time.Time, name string) bool {
	x, ok := s.servers[name]
	if !ok || !x.statement.Limited {
		return true
	}
	x.demand.count++
	s.advanceIfDue(now)
	x.expireTokens(now)
	return len(x.tokens) > 0
}

// Spend records that a request is sent to the server.
func (s *Sharer) Spend(name string) {
	if x, ok := s.servers[name]; ok {
		x.spend()
	}
}

// Share returns this host's part of the rate of a server in requests per second, by its weight, and
// false if the server states no limit.
func (s *Sharer) Share(name string) (float64, bool) {
	x, ok := s.servers[name]
	if !ok || !x.statement.Limited {
		return 0, false
	}
	return x.statement.rate() * s.fraction(func(h Host) bool { return h.Name == s.host }), true
}

func (s *Sharer) advanceIfDue(now time.Time) {
	if now.Sub(s.advancedAt) >= advanceInterval {
		s.advance(now)
	}
}

// advance updates the allocators and allocates what this host has to allocate.
func (s *Sharer) advance(now time.Time) {
	s.advancedAt = now
	for _, name := range s.names {
		x := s.servers[name]
		if !x.statement.Limited {
			continue
		}
		x.demand.update(now)
		x.expireTokens(now)
		host := s.allocatorOf(now, x)
		x.follow(now, host, host == s.host)
		if x.allocation != nil {
			s.allocate(now, x)
		}
	}
}

// allocate distributes the tokens of a server that this host allocates, some of them to itself.
func (s *Sharer) allocate(now time.Time, x *server) {
	a := x.allocation
	a.removeSilent(now.Add(-hostTimeout))
	a.report(now, s.host, Demand{PerSecond: x.demand.perSecond, Held: x.held(), Returned: x.takeReturned()})
	a.refill(now, x.statement.rate()*s.fraction(func(h Host) bool { return a.followers[h.Name] != nil }))
	a.distribute(now)
	x.addTokens(now, a.followers[s.host].takeUnsent())
}

// fraction returns the weight of the hosts for which counts is true, as a fraction of that of all live
// hosts. Hosts that are cut off from each other allocate fractions that add up to one at most.
func (s *Sharer) fraction(counts func(Host) bool) float64 {
	var counted, all int64
	listed := false
	for _, h := range s.hosts {
		if h.Leaving {
			continue
		}
		listed = listed || h.Name == s.host
		all += max(1, h.Weight)
		if counts(h) {
			counted += max(1, h.Weight)
		}
	}
	if !listed {
		counted, all = counted+1, all+1
	}
	return float64(counted) / float64(all)
}

// allocatorOf returns the host that allocates the rate of a server: the first by rendezvous hashing of
// those that this host hears, itself included. A host that is not live, because it is starting or
// leaving, allocates only for itself.
func (s *Sharer) allocatorOf(now time.Time, x *server) string {
	if x.ranking == nil {
		x.ranking = rank(x.statement.Server, s.hosts)
	}
	for _, host := range x.ranking {
		if host == s.host || now.Sub(s.heardAt[host]) <= hostTimeout {
			return host
		}
	}
	return s.host
}

// rank returns the names of the live hosts in the order of rendezvous hashing for a server.
func rank(server string, hosts []Host) []string {
	hashes := make(map[string]uint64, len(hosts))
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		hashes[h.Name] = xxhash.Sum64String(server + "\x00" + h.Name)
		names = append(names, h.Name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a, b)) })
	return names
}
