package masticcall

// sharedScope is the salt of all workspaces that may share cached prompts.
const sharedScope = "shared"

// CacheSalt returns the salt under which backend servers cache prompts of a scope, the name of an isolated
// workspace or empty for all others, for a version of the weights. Servers that fetch cached prompts check
// neither.
func CacheSalt(scope, version string) string {
	if scope != "" {
		return "workspace-" + scope + "@" + version
	}
	return sharedScope + "@" + version
}
