package masticview

import (
	"maps"
	"slices"

	"masticladder/masticproto"
)

// maxFormerWorkspaces bounds the removed workspaces that are remembered because they may have cached prompts.
const maxFormerWorkspaces = 1024

// cacheSharing says whose prompts backend servers may have cached under the salt that all workspaces share but the
// isolated ones: the salt of a generation has prompts of workspaces that were not isolated in it. It is immutable.
type cacheSharing struct {
	// generation is the number of the document with which the salt changed last.
	generation int64
	// former lists the workspaces that shared prompts in this generation and that no document has had since, in order.
	former []string
}

// CacheGeneration returns the generation of the salt under which workspaces share cached prompts, zero for the first
// one. It changes when a workspace whose prompts are shared becomes isolated: cached prompts do not name the
// workspace that made them.
func (v View) CacheGeneration() int64 { return v.sharing.generation }

// withDocument returns the sharing after the document old has been replaced by next.
func (s cacheSharing) withDocument(old, next *masticproto.Document) cacheSharing {
	shared := make(map[string]bool, len(s.former))
	for _, name := range s.former {
		shared[name] = true
	}
	for _, w := range old.GetTenants() {
		if !w.GetIsolated() {
			shared[w.GetName()] = true
		}
	}
	for _, w := range next.GetTenants() {
		if w.GetIsolated() && shared[w.GetName()] {
			return cacheSharing{generation: next.GetNumber()}
		}
		delete(shared, w.GetName())
	}
	if len(shared) > maxFormerWorkspaces {
		return cacheSharing{generation: next.GetNumber()}
	}
	return cacheSharing{generation: s.generation, former: slices.Sorted(maps.Keys(shared))}
}

func (s cacheSharing) toProto() *masticproto.CacheSharing {
	if s.generation == 0 && len(s.former) == 0 {
		return nil
	}
	return &masticproto.CacheSharing{Generation: s.generation, FormerWorkspaces: s.former}
}

func cacheSharingFromProto(p *masticproto.CacheSharing) cacheSharing {
	return cacheSharing{generation: p.GetGeneration(), former: p.GetFormerWorkspaces()}
}
