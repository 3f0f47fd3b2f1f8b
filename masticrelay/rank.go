package masticrelay

import (
	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticview"
)

const (
	// lowestPriority is the least urgent priority of an engine.
	lowestPriority = 9
	// maxQuickPromptTokens is the longest prompt of the quick class. Engines process prompts in
	// chunks of about this length, and one chunk does not delay other requests for long.
	maxQuickPromptTokens = 4096
)

// priority returns the engine priority of a request: ordered by the route's priority, then by
// the workspace's.
func priority(r masticdocument.Route, w masticdocument.Workspace) int64 {
	const workspaceRanks = 3
	p := max(0, r.Priority)*workspaceRanks + min(max(0, w.Priority), workspaceRanks-1)
	return min(p, lowestPriority)
}

// class returns the class by which the dispatcher places a request on an engine.
func class(c *Call) masticview.Class {
	if c.HasTokens && c.InputTokens <= maxQuickPromptTokens {
		return masticview.ClassQuick
	}
	return masticview.ClassLong
}

// cacheScope returns the scope in which cached prompts of a workspace are shared under view v. The dispatcher records
// under it where prompts are believed to be cached.
func cacheScope(v masticview.View, w masticdocument.Workspace) string {
	if w.Isolated {
		return masticcall.IsolatedScope(w.Name)
	}
	return masticcall.SharedScope(v.CacheGeneration())
}
