package masticview

import (
	"time"

	"masticladder/masticproto"
)

// draft is a view under change; it copies only what it touches.
type draft struct {
	base       View
	workspaces tableEdit[string, Workspace]
	profiles   tableEdit[string, Profile]
	keys       tableEdit[string, Key]
	digests    tableEdit[Digest, string]
	hosts      tableEdit[string, Host]
	servers    tableEdit[string, Server]
	services   tableEdit[string, Service]
	quarantine tableEdit[Digest, Quarantine]
	weights    tableEdit[string, Weights]
	document   *masticproto.Document
}

func newDraft(v View) *draft {
	return &draft{
		base:       v,
		workspaces: edit(v.workspaces),
		profiles:   edit(v.profiles),
		keys:       edit(v.keys),
		digests:    edit(v.digests),
		hosts:      edit(v.hosts),
		servers:    edit(v.servers),
		services:   edit(v.services),
		quarantine: edit(v.quarantine),
		weights:    edit(v.weights),
		document:   v.document,
	}
}

// put puts the items of c without checking them against each other.
func (d *draft) put(c *masticproto.ViewChange) error {
	for _, p := range c.GetWorkspaces() {
		d.workspaces.put(p.GetName(), WorkspaceFromProto(p))
	}
	for _, p := range c.GetProfiles() {
		d.profiles.put(p.GetName(), ProfileFromProto(p))
	}
	for _, p := range c.GetHosts() {
		d.hosts.put(p.GetName(), HostFromProto(p))
	}
	for _, n := range c.GetRemovedServers() {
		d.servers.remove(n)
	}
	d.putNumbered(c)
	for _, p := range c.GetServers() {
		d.servers.put(p.GetName(), ServerFromProto(p))
	}
	for _, p := range c.GetServices() {
		d.services.put(p.GetName(), ServiceFromProto(p))
	}
	if err := d.putKeys(c.GetKeys()); err != nil {
		return err
	}
	return d.putQuarantines(c)
}

// putNumbered puts the document and the versions of weights that are higher than those held.
func (d *draft) putNumbered(c *masticproto.ViewChange) {
	if p := c.GetDocument(); p != nil && p.GetNumber() > d.document.GetNumber() {
		d.document = p
	}
	for _, p := range c.GetWeights() {
		if held, _ := d.weights.get(p.GetModel()); p.GetVersion() > held.Version {
			d.weights.put(p.GetModel(), WeightsFromProto(p))
		}
	}
}

func (d *draft) putKeys(keys []*masticproto.Key) error {
	for _, p := range keys {
		k, err := KeyFromProto(p)
		if err != nil {
			return err
		}
		d.keys.put(k.ID, k)
		d.digests.put(k.Digest, k.ID)
	}
	return nil
}

func (d *draft) putQuarantines(c *masticproto.ViewChange) error {
	for _, b := range c.GetEndedQuarantines() {
		digest, err := DigestFromBytes(b)
		if err != nil {
			return err
		}
		d.quarantine.remove(digest)
	}
	for _, p := range c.GetQuarantines() {
		q, err := QuarantineFromProto(p)
		if err != nil {
			return err
		}
		d.quarantine.put(q.Digest, q)
	}
	return nil
}

// expire removes the quarantines that ended by at.
func (d *draft) expire(at time.Time) {
	for _, q := range d.quarantine.values() {
		if !q.Until.After(at) {
			d.quarantine.remove(q.Digest)
		}
	}
}

func (d *draft) view() View {
	return View{
		revision:   d.base.revision,
		workspaces: d.workspaces.table,
		profiles:   d.profiles.table,
		keys:       d.keys.table,
		digests:    d.digests.table,
		hosts:      d.hosts.table,
		servers:    d.servers.table,
		services:   d.services.table,
		quarantine: d.quarantine.table,
		weights:    d.weights.table,
		document:   d.document,
	}
}
