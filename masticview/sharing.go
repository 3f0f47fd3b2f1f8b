package masticview

import (
	"encoding/binary"
	"maps"
	"slices"

	"masticladder/masticproto"
)

// maxFormerSharers bounds the names and API keys that are remembered because their requests may have cached prompts.
const maxFormerSharers = 4096

// cacheSharing says whose prompts backend servers may have cached under the salt that all workspaces share but the
// isolated ones: the salt of a generation has prompts of workspaces that were not isolated in it. It is immutable.
type cacheSharing struct {
	// generation is the number of the document with which the salt changed last.
	generation int64
	// former lists the sharers of this generation that no document has had since, in ascending order.
	former []uint64
}

// CacheGeneration returns the generation of the salt under which workspaces share cached prompts, zero for the first
// one. It changes when a workspace whose prompts are shared becomes isolated: cached prompts do not name the
// workspace that made them.
func (v View) CacheGeneration() int64 { return v.sharing.generation }

// sharersOf returns hashes of what names the callers of a workspace: its name and its API keys, of which a document may
// change either.
func sharersOf(w *masticproto.Tenant) []uint64 {
	name := DigestOf([]byte(w.GetName()))
	out := []uint64{binary.BigEndian.Uint64(name[:])}
	for _, k := range w.GetKeys() {
		if len(k) == len(Digest{}) {
			out = append(out, binary.BigEndian.Uint64(k))
		}
	}
	return out
}

// withDocument returns the sharing after the document old has been replaced by next.
func (s cacheSharing) withDocument(old, next *masticproto.Document) cacheSharing {
	shared := make(map[uint64]bool, len(s.former))
	for _, x := range s.former {
		shared[x] = true
	}
	for _, w := range old.GetTenants() {
		if w.GetIsolated() {
			continue
		}
		for _, x := range sharersOf(w) {
			shared[x] = true
		}
	}
	for _, w := range next.GetTenants() {
		if w.GetIsolated() && slices.ContainsFunc(sharersOf(w), func(x uint64) bool { return shared[x] }) {
			return cacheSharing{generation: next.GetNumber()}
		}
	}
	for _, w := range next.GetTenants() {
		for _, x := range sharersOf(w) {
			delete(shared, x)
		}
	}
	if len(shared) > maxFormerSharers {
		return cacheSharing{generation: next.GetNumber()}
	}
	return cacheSharing{generation: s.generation, former: slices.Sorted(maps.Keys(shared))}
}

func (s cacheSharing) toProto() *masticproto.CacheSharing {
	if s.generation == 0 && len(s.former) == 0 {
		return nil
	}
	return &masticproto.CacheSharing{Generation: s.generation, FormerSharers: s.former}
}

func cacheSharingFromProto(p *masticproto.CacheSharing) cacheSharing {
	return cacheSharing{generation: p.GetGeneration(), former: p.GetFormerSharers()}
}
