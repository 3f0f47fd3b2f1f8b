package masticrollout

import (
	"slices"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const (
	// maxRows bounds the rows of a service; further answers are counted without their stratum, and then not at all.
	maxRows = 512
	// excludedTime is how long a version that was rolled back stays excluded while no server of another version is
	// listed. Its servers drain some seconds later.
	excludedTime = time.Minute
	// boundRetryAfter is when a caller is to come back whose stream's version gets no requests now.
	boundRetryAfter = time.Second
)

// Traffic places the requests of a host. It is safe for concurrent use.
type Traffic struct {
	host string

	mutex    sync.Mutex
	services map[string]*serviceTraffic
	// viewed reports that a view was set before.
	viewed bool
}

// NewTraffic returns a Traffic of the named host, without a view.
func NewTraffic(host string) *Traffic {
	return &Traffic{host: host, services: map[string]*serviceTraffic{}}
}

// serviceTraffic is the traffic of one service.
type serviceTraffic struct {
	rollout masticview.Rollout
	// avoid lists the servers of the target version that get no requests in the step in force.
	avoid []string
	// targets and others are the numbers of listed servers.
	targets, others int
	// part is this host's part of the allowance. A host that was restarted since the order has none, since it may have
	// spent it before.
	part      int64
	restarted bool
	// running counts the requests that run or wait, by software version; waiting those without a server that may go to
	// another version than the target.
	running map[string]int64
	waiting int64
	// waitingTarget counts the waiting requests for the target version.
	waitingTarget     int64
	requests, exposed int64
	// reserved counts waiting requests for the target version within the allowance.
	reserved int64
	rows     map[rowKey]*counts
}

// rowKey names like answers. server is set for the target version.
type rowKey struct{ route, stratum, server string }

// SetView applies a view that this host begins to serve. Requests that begin afterwards are placed by it.
func (t *Traffic) SetView(v masticview.View) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, r := range v.Rollouts() {
		s := t.service(r.Service)
		last := s.rollout
		if last.FirstSequence != r.FirstSequence {
			s.requests, s.exposed, s.rows, s.restarted = 0, 0, map[rowKey]*counts{}, !t.viewed
			last, s.part = masticview.Rollout{}, 0
		}
		s.rollout = r
		s.list(v)
		if s.restarted || r.Step.Final() {
			s.part = 0
			continue
		}
		// Only what the allowance has grown by is divided over the hosts of this view: hosts that left have spent their parts.
		former := r
		former.Allowance = last.Allowance
		s.part += partOf(t.host, r, v.Hosts()) - partOf(t.host, former, v.Hosts())
	}
	t.viewed = t.viewed || v.Revision() > 0
}

// list notes which servers of the service are listed.
func (s *serviceTraffic) list(v masticview.View) {
	s.avoid, s.targets, s.others = nil, 0, 0
	for _, x := range v.Servers() {
		switch {
		case x.Service != s.rollout.Service || x.State == masticview.ServerRetired:
		case x.Software != s.rollout.Target:
			s.others++
		default:
			s.targets++
			if len(s.rollout.Focus) > 0 && !slices.Contains(s.rollout.Focus, x.Name) {
				s.avoid = append(s.avoid, x.Name)
			}
		}
	}
}

func (t *Traffic) service(name string) *serviceTraffic {
	s, ok := t.services[name]
	if !ok {
		s = &serviceTraffic{running: map[string]int64{}}
		t.services[name] = s
	}
	return s
}

// Ask is a request that needs a server.
type Ask struct {
	Service string
	// Bound restricts the versions whatever the rollout says: the request continues a stream.
	Bound masticcall.Software
	// First reports that the request may be one of the share for the target version.
	First bool
	// Repeated reports that a request was counted before: this is a further attempt.
	Repeated bool
	// Leased reports that the host has a valid view lease.
	Leased bool
	// Random is drawn from 0 to 1.
	Random float64
}

// Placement is where one attempt of a request may go. Its owner calls Assigned or Abandon, and End after Assigned.
type Placement struct {
	// Software and Avoid restrict the servers.
	Software masticcall.Software
	Avoid    []string
	// Sampled reports that the attempt is one of the share for the target version. If no server of it takes the
	// attempt, the request is placed again, with First unset.
	Sampled bool

	traffic *Traffic
	service *serviceTraffic
	// target reports that only the target version is allowed, reserved that the attempt is within the allowance.
	target, reserved bool
	repeated         bool
	first            uint64
	software         string
	server           string
	counted          bool
}

// Begin places one attempt of a request. The error has kind noServer if the stream that it continues was begun by a
// version that gets no requests now.
func (t *Traffic) Begin(now time.Time, q Ask) (*Placement, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.service(q.Service)
	p := &Placement{traffic: t, service: s, Software: q.Bound, first: s.rollout.FirstSequence, repeated: q.Repeated}
	if s.rollout.Sequence > 0 {
		if err := t.place(now, s, p, q); err != nil {
			return nil, err
		}
	}
	if p.target {
		s.waitingTarget++
	} else {
		s.waiting++
	}
	if p.reserved {
		s.reserved++
	}
	return p, nil
}

// place restricts p by the step in force.
func (t *Traffic) place(now time.Time, s *serviceTraffic, p *Placement, q Ask) error {
	r := s.rollout
	if q.Bound.Required {
		return t.placeBound(s, p, q)
	}
	switch r.Step {
	case masticview.RolloutObserve, masticview.RolloutLoad, masticview.RolloutConfirm, masticview.RolloutTrial:
		if q.First && q.Leased && q.Random*masticview.WholeShare < float64(r.Share) && s.targets > len(s.avoid) && s.allows() {
			p.Software, p.Avoid = masticcall.OnlySoftware(r.Target), s.avoid
			p.target, p.reserved, p.Sampled = true, true, true
			return nil
		}
		p.Software = masticcall.ExceptSoftware(r.Target)
	case masticview.RolloutDrain, masticview.RolloutClose:
		p.Software, p.target = masticcall.OnlySoftware(r.Target), true
	case masticview.RolloutCompleted:
		if s.targets > 0 {
			p.Software, p.target = masticcall.OnlySoftware(r.Target), true
		}
	case masticview.RolloutRolledBack:
		if s.others > 0 || now.Before(r.StepAt.Add(excludedTime)) {
			p.Software = masticcall.ExceptSoftware(r.Target)
		}
	default:
		p.Software = masticcall.ExceptSoftware(r.Target)
	}
	return nil
}

// placeBound places an attempt that continues a stream.
func (t *Traffic) placeBound(s *serviceTraffic, p *Placement, q Ask) error {
	p.target = q.Bound.Version == s.rollout.Target
	allowed := true
	switch s.rollout.Step {
	case masticview.RolloutWait, masticview.RolloutRolledBack:
		allowed = !p.target
	case masticview.RolloutObserve, masticview.RolloutLoad, masticview.RolloutConfirm, masticview.RolloutTrial:
		p.reserved = p.target
		allowed = !p.target || q.Leased && s.allows()
	case masticview.RolloutClose, masticview.RolloutCompleted:
		allowed = p.target
	}
	if !allowed {
		return masticerror.New(masticerror.KindNoServer, "version %q, which began the stream, gets no requests now", q.Bound.Version).WithRetryAfter(boundRetryAfter)
	}
	return nil
}

// allows reports whether one more request may be sent to the target version.
func (s *serviceTraffic) allows() bool { return s.exposed+s.reserved < s.part }

// Assigned notes the server that the attempt is sent to. It reports false, and then nothing may be sent, if the step in
// force no longer allows the server's version.
func (p *Placement) Assigned(now time.Time, server masticview.Server) bool {
	t, s := p.traffic, p.service
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reserved := p.reserved
	p.leaveQueue()
	// A request may have waited since before the order, or a listed server may have changed its version meanwhile.
	if !p.Software.Allows(server.Software) || s.unproven() && server.Software == s.rollout.Target && !reserved {
		return false
	}
	if s.forbids(now, server.Software) {
		return false
	}
	p.software = server.Software
	s.running[p.software]++
	if s.rollout.Sequence == 0 || s.rollout.FirstSequence != p.first {
		return true
	}
	p.counted = true
	if !p.repeated {
		s.requests++
	}
	if p.software == s.rollout.Target {
		p.server = server.Name
		s.exposed++
	}
	return true
}

// unproven reports whether the target version gets only requests within the allowance.
func (s *serviceTraffic) unproven() bool {
	switch s.rollout.Step {
	case masticview.RolloutObserve, masticview.RolloutLoad, masticview.RolloutConfirm, masticview.RolloutTrial:
		return true
	default:
		return false
	}
}

// forbids reports whether no request at all may be sent to a version.
func (s *serviceTraffic) forbids(now time.Time, version string) bool {
	switch target := version == s.rollout.Target; s.rollout.Step {
	case masticview.RolloutWait:
		return target
	case masticview.RolloutRolledBack:
		return target && (s.others > 0 || now.Before(s.rollout.StepAt.Add(excludedTime)))
	case masticview.RolloutClose:
		return !target
	case masticview.RolloutCompleted:
		return !target && s.targets > 0
	default:
		return false
	}
}

// Role returns "target" or "other" for a version of a service whose rollout runs, and the empty string otherwise.
func (t *Traffic) Role(service, version string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch s := t.service(service); {
	case s.rollout.Sequence == 0 || s.rollout.Step.Final():
		return ""
	case version == s.rollout.Target:
		return "target"
	default:
		return "other"
	}
}

// leaveQueue ends the wait for a server.
func (p *Placement) leaveQueue() {
	if p.target {
		p.service.waitingTarget--
	} else {
		p.service.waiting--
	}
	if p.reserved {
		p.service.reserved--
	}
}

// Abandon notes that no server was assigned.
func (p *Placement) Abandon() {
	p.traffic.mutex.Lock()
	defer p.traffic.mutex.Unlock()
	p.leaveQueue()
}

// Outcome is the answer to an attempt, or its failure.
type Outcome struct {
	// Route and Stratum name like requests: only these are compared.
	Route, Stratum string
	// Bad reports a failure. Unknown reports that the attempt says nothing of the server: its caller went away, or the
	// server stated when it takes requests again.
	Bad, Unknown bool
	Latency      time.Duration
}

// End notes the outcome of the attempt.
func (p *Placement) End(o Outcome) {
	t, s := p.traffic, p.service
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if s.running[p.software]--; s.running[p.software] <= 0 {
		delete(s.running, p.software)
	}
	if !p.counted || o.Unknown || s.rollout.FirstSequence != p.first {
		return
	}
	row := s.row(rowKey{o.Route, o.Stratum, p.server})
	switch {
	case row == nil:
	case o.Bad:
		row.bad++
	default:
		row.good[bucketOf(o.Latency)]++
	}
}

// row returns the row of k, or nil if there are too many.
func (s *serviceTraffic) row(k rowKey) *counts {
	row, ok := s.rows[k]
	switch {
	case ok:
		return row
	case len(s.rows) >= maxRows && k.stratum != "":
		return s.row(rowKey{k.route, "", k.server})
	case len(s.rows) >= 2*maxRows:
		return nil
	}
	row = new(counts)
	s.rows[k] = row
	return row
}
