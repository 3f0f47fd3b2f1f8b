package masticcall

// Usage takes what one request used.
type Usage interface {
	Add(u UsageRecord)
}

// UsageRecord is what one request used or why it was refused.
type UsageRecord struct {
	Workspace, Profile, Model, ServerOwner string
	InputTokens, OutputTokens              int64
	CachedTokens, RecomputedTokens         int64
	Order                                  bool
	// Refusal is the error kind, empty for a served request.
	Refusal string
}
