package masticcourse

import (
	"masticladder/masticdocument"
	"masticladder/masticview"
)

const (
	// lastPriority is the least urgent priority of an engine.
	lastPriority = 9
	// quickTokens is the longest prompt of the quick class: engines read prompts in pieces of
	// about this length, and one piece delays nobody for long.
	quickTokens = 4096
	// sharedSalt is the salt of all workspaces that may share cached prompts.
	sharedSalt = "shared"
)

// priority returns the engine's priority: the route's rank first, the workspace's among
// requests of one rank.
func priority(r masticdocument.Route, t masticdocument.Tenant) int64 {
	const workspaceRanks = 3
	p := max(0, r.Priority)*workspaceRanks + min(max(0, t.Priority), workspaceRanks-1)
	return min(p, lastPriority)
}

// class returns the class by which a request of an engine is placed.
func class(c *Call) masticview.Class {
	if c.HasTokens && c.InputTokens <= quickTokens {
		return masticview.ClassQuick
	}
	return masticview.ClassLong
}

// salt returns the salt of a workspace's cached prompts that were made by a version of the
// weights. Servers that fetch cached prompts check neither.
func salt(t masticdocument.Tenant, version string) string {
	if t.Isolated {
		return "workspace-" + t.Name + "@" + version
	}
	return sharedSalt + "@" + version
}

// cacheOwner returns the name under which beliefs of cached prompts are kept: workspaces
// that share cached prompts share the beliefs.
func cacheOwner(t masticdocument.Tenant) string {
	if t.Isolated {
		return t.Name
	}
	return ""
}
