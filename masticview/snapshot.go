package masticview

import "masticladder/masticproto"

// Snapshot returns the whole view as a protobuf message with the items in a fixed order.
func (v View) Snapshot() *masticproto.ViewSnapshot {
	return &masticproto.ViewSnapshot{
		Revision:     v.revision,
		CacheSharing: v.sharing.toProto(),
		Items: &masticproto.ViewChange{
			Workspaces:  encode(v.Workspaces(), Workspace.ToProto),
			Profiles:    encode(v.Profiles(), Profile.ToProto),
			Keys:        encode(v.Keys(), Key.ToProto),
			Hosts:       encode(v.Hosts(), Host.ToProto),
			Servers:     encode(v.Servers(), Server.ToProto),
			Services:    encode(v.Services(), Service.ToProto),
			Quarantines: encode(v.Quarantines(), Quarantine.ToProto),
			Weights:     encode(v.AllWeights(), Weights.ToProto),
			Document:    v.document,

			BaseSoftware: v.baseSoftwareToProto(),
			Rollouts:     encode(v.Rollouts(), Rollout.ToProto),
		},
	}
}

// FromSnapshot returns the view in s. It does not check references between items again. The error
// has kind badRequest if an item is malformed.
func FromSnapshot(s *masticproto.ViewSnapshot) (View, error) {
	d := newDraft(View{})
	if err := d.put(s.GetItems()); err != nil {
		return View{}, err
	}
	d.sharing = cacheSharingFromProto(s.GetCacheSharing())
	return d.view().WithRevision(s.GetRevision()), nil
}

func encode[T, P any](items []T, f func(T) P) []P {
	out := make([]P, 0, len(items))
	for _, i := range items {
		out = append(out, f(i))
	}
	return out
}
