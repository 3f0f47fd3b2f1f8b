package masticview

import (
	"time"

	"masticladder/masticproto"
)

// draft is a mutable copy of a view. It copies only the table shards that it changes.
type draft struct {
	base        View
	workspaces  tableEdit[string, Workspace]
	profiles    tableEdit[string, Profile]
	keys        tableEdit[string, Key]
	digests     tableEdit[Digest, string]
	hosts       tableEdit[string, Host]
	servers     tableEdit[string, Server]
	services    tableEdit[string, Service]
	quarantines tableEdit[Digest, Quarantine]
	weights     tableEdit[string, Weights]
	document    *masticproto.Document
	sharing     cacheSharing

	baseSoftware tableEdit[string, string]
	rollouts     tableEdit[string, Rollout]
}

func newDraft(v View) *draft {
	return &draft{
		base:        v,
		workspaces:  newTableEdit(v.workspaces),
		profiles:    newTableEdit(v.profiles),
		keys:        newTableEdit(v.keys),
		digests:     newTableEdit(v.digests),
		hosts:       newTableEdit(v.hosts),
		servers:     newTableEdit(v.servers),
		services:    newTableEdit(v.services),
		quarantines: newTableEdit(v.quarantines),
		weights:     newTableEdit(v.weights),
		document:    v.document,
		sharing:     v.sharing,

		baseSoftware: newTableEdit(v.baseSoftware),
		rollouts:     newTableEdit(v.rollouts),
	}
}

// put adds, replaces and removes items as c says. It does not check references between items.
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
	d.putVersioned(c)
	for _, p := range c.GetServers() {
		d.servers.put(p.GetName(), ServerFromProto(p))
	}
	for _, p := range c.GetServices() {
		d.services.put(p.GetName(), ServiceFromProto(p))
	}
	d.putBaseSoftware(c)
	for _, p := range c.GetRollouts() {
		d.rollouts.put(p.GetService(), RolloutFromProto(p))
	}
	if err := d.putKeys(c.GetKeys()); err != nil {
		return err
	}
	return d.putQuarantines(c)
}

// putVersioned replaces the document and the weights for which c has a higher number or version.
func (d *draft) putVersioned(c *masticproto.ViewChange) {
	if p := c.GetDocument(); p != nil && p.GetNumber() > d.document.GetNumber() {
		d.sharing = d.sharing.withDocument(d.document, p)
		d.document = p
	}
	for _, p := range c.GetWeights() {
		if current, _ := d.weights.get(p.GetModel()); p.GetVersion() > current.Version {
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
		d.quarantines.remove(digest)
	}
	for _, p := range c.GetQuarantines() {
		q, err := QuarantineFromProto(p)
		if err != nil {
			return err
		}
		d.quarantines.put(q.Digest, q)
	}
	return nil
}

// removeExpiredQuarantines removes the quarantines that end at or before at.
func (d *draft) removeExpiredQuarantines(at time.Time) {
	for _, q := range d.quarantines.values() {
		if !q.Until.After(at) {
			d.quarantines.remove(q.Digest)
		}
	}
}

func (d *draft) view() View {
	return View{
		revision:    d.base.revision,
		workspaces:  d.workspaces.table,
		profiles:    d.profiles.table,
		keys:        d.keys.table,
		digests:     d.digests.table,
		hosts:       d.hosts.table,
		servers:     d.servers.table,
		services:    d.services.table,
		quarantines: d.quarantines.table,
		weights:     d.weights.table,
		document:    d.document,
		sharing:     d.sharing,

		baseSoftware: d.baseSoftware.table,
		rollouts:     d.rollouts.table,
	}
}
