package masticcall

// Usage accumulates the usage of requests.
type Usage interface {
	Add(u UsageRecord)
}

// UsageRecord is the usage of one request, or the reason for its refusal.
type UsageRecord struct {
	Workspace, Profile, Model, ServerOwner string
	InputTokens, OutputTokens              int64
	CachedTokens, RecomputedTokens         int64
	Order                                  bool
	// Refusal is the error kind, empty for a served request.
	Refusal string
}
