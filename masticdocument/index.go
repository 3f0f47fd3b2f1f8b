package masticdocument

import (
	"strings"

	"masticladder/masticview"
)

// Index provides lookups in one document. It is immutable.
type Index struct {
	document Document
	// routes is keyed by host name in lower case, then by prefix.
	routes     map[string]map[string]Route
	pools      map[string]Pool
	workspaces map[string]Workspace
	keys       map[masticview.Digest]string
}

// NewIndex returns the index of d, which must be valid.
func NewIndex(d Document) *Index {
	x := &Index{
		document:   d,
		routes:     map[string]map[string]Route{},
		pools:      make(map[string]Pool, len(d.Pools)),
		workspaces: make(map[string]Workspace, len(d.Workspaces)),
		keys:       map[masticview.Digest]string{},
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Hostname)
		if x.routes[host] == nil {
			x.routes[host] = map[string]Route{}
		}
		x.routes[host][r.Prefix] = r
	}
	for _, p := range d.Pools {
		x.pools[p.Name] = p
	}
	for _, w := range d.Workspaces {
		x.workspaces[w.Name] = w
		for _, k := range w.Keys {
			x.keys[k] = w.Name
		}
	}
	return x
}

// Number returns the number of the document, or zero if x is nil.
func (x *Index) Number() int64 {
	if x == nil {
		return 0
	}
	return x.document.Number
}

// Limits returns the document's limits. Unlike Number, it must not be called on a nil Index.
func (x *Index) Limits() Limits { return x.document.Limits }

// RequiresKey reports whether requests need an API key, which is so if there are workspaces.
func (x *Index) RequiresKey() bool { return len(x.workspaces) > 0 }

// Route returns the route for host whose prefix is the longest that path begins with.
func (x *Index) Route(host, path string) (Route, bool) {
	byPrefix := x.routes[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := byPrefix[path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// Pool returns the pool called name, and false if there is none.
func (x *Index) Pool(name string) (Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Workspace returns the workspace called name, and false if there is none.
func (x *Index) Workspace(name string) (Workspace, bool) {
	w, ok := x.workspaces[name]
	return w, ok
}

// WorkspaceByKey returns the workspace of the API key with digest k, and false if no workspace has it.
func (x *Index) WorkspaceByKey(k masticview.Digest) (Workspace, bool) {
	name, ok := x.keys[k]
	if !ok {
		return Workspace{}, false
	}
	return x.Workspace(name)
}
