package masticdocument

import (
	"strings"

	"masticladder/masticerror"
)

// Check returns why the document is invalid, or nil.
func (d Document) Check() error {
	if d.Number <= 0 {
		return refuse("the number %d is not positive", d.Number)
	}
	pools, err := d.checkPools()
	if err != nil {
		return err
	}
	places := make(map[[2]string]string, len(d.Routes))
	for _, r := range d.Routes {
		if err := r.check(pools); err != nil {
			return err
		}
		place := [2]string{strings.ToLower(r.Host), r.Prefix}
		if other, ok := places[place]; ok {
			return refuse("routes %q and %q have the same host name and prefix", other, r.Name)
		}
		places[place] = r.Name
	}
	return d.checkTenants()
}

func (d Document) checkPools() (map[string]Pool, error) {
	pools := make(map[string]Pool, len(d.Pools))
	for _, p := range d.Pools {
		if p.Name == "" {
			return nil, refuse("a service has no name")
		}
		if _, ok := pools[p.Name]; ok {
			return nil, refuse("service %q stands twice", p.Name)
		}
		pools[p.Name] = p
	}
	return pools, nil
}

func (r Route) check(pools map[string]Pool) error {
	switch {
	case r.Name == "" || r.Host == "":
		return refuse("a route lacks its name or host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return refuse("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return refuse("route %q: the timeout is not positive", r.Name)
	case r.Repeat != RepeatOnce && r.Repeat != RepeatSafe && r.Repeat != RepeatStream:
		return refuse("route %q: there is no type %q", r.Name, r.Repeat)
	}
	var sum int64
	for _, t := range r.Targets {
		p, ok := pools[t.Pool]
		if !ok || p.Store != "" {
			return refuse("route %q: there is no service %q to route to", r.Name, t.Pool)
		}
		if t.Weight < 0 {
			return refuse("route %q: the weight of service %q is negative", r.Name, t.Pool)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return refuse("route %q: its weights add up to nothing", r.Name)
	}
	return nil
}

func (d Document) checkTenants() error {
	names := make(map[string]bool, len(d.Tenants))
	holders := map[[32]byte]string{}
	for _, t := range d.Tenants {
		if t.Name == "" || names[t.Name] {
			return refuse("workspace %q has no name or stands twice", t.Name)
		}
		names[t.Name] = true
		if t.RateTokensPerSecond < 0 || t.BurstTokens < 0 || t.PlainTokens < 0 {
			return refuse("workspace %q has a negative bound", t.Name)
		}
		for _, k := range t.Keys {
			if other, ok := holders[k]; ok && other != t.Name {
				return refuse("workspaces %q and %q share a key", other, t.Name)
			}
			holders[k] = t.Name
		}
	}
	return nil
}

func refuse(format string, args ...any) error {
	return masticerror.New(masticerror.KindBadRequest, format, args...)
}
