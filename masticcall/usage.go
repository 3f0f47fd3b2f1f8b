package masticcall

// Usage accumulates the usage of requests.
type Usage interface {
	Add(u UsageRecord)
}

// UsageRecord is the usage of one request, or the kind of the error that it failed with.
type UsageRecord struct {
	Workspace, Profile, Model, ServerOwner string
	InputTokens, OutputTokens              int64
	CachedTokens, RecomputedTokens         int64
	Order                                  bool
	// Refusal is the error kind of a refused or failed request, empty for a served one.
	Refusal string
}
