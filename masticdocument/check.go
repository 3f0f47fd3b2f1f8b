package masticdocument

import (
	"strings"

	"masticladder/masticerror"
)

// Check returns nil if the document is valid, or else an error of kind badRequest that
// names the first fault.
func (d Document) Check() error {
	if d.Number <= 0 {
		return invalid("the number %d is not positive", d.Number)
	}
	pools, err := d.checkPools()
	if err != nil {
		return err
	}
	routeNames := make(map[[2]string]string, len(d.Routes))
	for _, r := range d.Routes {
		if err := r.check(pools); err != nil {
			return err
		}
		selector := [2]string{strings.ToLower(r.Hostname), r.Prefix}
		if other, ok := routeNames[selector]; ok {
			return invalid("routes %q and %q have the same host name and prefix", other, r.Name)
		}
		routeNames[selector] = r.Name
	}
	return d.checkWorkspaces()
}

// checkPools returns the pools by name.
func (d Document) checkPools() (map[string]Pool, error) {
	pools := make(map[string]Pool, len(d.Pools))
	for _, p := range d.Pools {
		if p.Name == "" {
			return nil, invalid("a service has no name")
		}
		if _, ok := pools[p.Name]; ok {
			return nil, invalid("service %q stands twice", p.Name)
		}
		pools[p.Name] = p
	}
	return pools, nil
}

// check checks the route, whose targets must be pools of servers.
func (r Route) check(pools map[string]Pool) error {
	switch {
	case r.Name == "" || r.Hostname == "":
		return invalid("a route lacks its name or host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return invalid("route %q: the timeout is not positive", r.Name)
	case r.Repeat != RetryNever && r.Repeat != RetryIdempotent && r.Repeat != RetryStream:
		return invalid("route %q: there is no type %q", r.Name, r.Repeat)
	}
	var sum int64
	for _, t := range r.Targets {
		p, ok := pools[t.Pool]
		if !ok || p.Store != "" {
			return invalid("route %q: there is no service %q to route to", r.Name, t.Pool)
		}
		if t.Weight < 0 {
			return invalid("route %q: the weight of service %q is negative", r.Name, t.Pool)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return invalid("route %q: its weights add up to nothing", r.Name)
	}
	return nil
}

// checkWorkspaces checks the names and bounds of the workspaces, and that no two of them share
// a key.
func (d Document) checkWorkspaces() error {
	names := make(map[string]bool, len(d.Workspaces))
	keyOwners := map[[32]byte]string{}
	for _, w := range d.Workspaces {
		if w.Name == "" || names[w.Name] {
			return invalid("workspace %q has no name or stands twice", w.Name)
		}
		names[w.Name] = true
		if w.RateTokensPerSecond < 0 || w.RateMilliTokensPerSecond < 0 || w.BurstTokens < 0 || w.DefaultTokens < 0 {
			return invalid("workspace %q has a negative bound", w.Name)
		}
		for _, k := range w.Keys {
			if other, ok := keyOwners[k]; ok && other != w.Name {
				return invalid("workspaces %q and %q share a key", other, w.Name)
			}
			keyOwners[k] = w.Name
		}
	}
	return nil
}

// invalid returns an error of kind badRequest.
func invalid(format string, args ...any) error {
	return masticerror.New(masticerror.KindBadRequest, format, args...)
}
