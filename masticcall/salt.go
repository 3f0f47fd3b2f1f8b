package masticcall

import "strconv"

// sharedScope is the scope of all workspaces that are not isolated, in the first generation.
const sharedScope = "shared"

// IsolatedScope returns the cache scope of an isolated workspace: no other workspace has it.
func IsolatedScope(workspace string) string { return "workspace-" + workspace }

// SharedScope returns the cache scope of all workspaces that are not isolated, empty in the first generation. Each
// generation has its own.
func SharedScope(generation int64) string {
	if generation == 0 {
		return ""
	}
	return sharedScope + "-" + strconv.FormatInt(generation, 10)
}

// CacheSalt returns the salt under which backend servers cache prompts of a scope for a version of the weights. Servers
// that fetch cached prompts check neither.
func CacheSalt(scope, version string) string {
	if scope == "" {
		scope = sharedScope
	}
	return scope + "@" + version
}
