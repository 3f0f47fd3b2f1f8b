package masticview

// Service is a plain service, as opposed to a model, to which requests are routed.
type Service struct {
	Name    string   `json:"name" validate:"required"`
	Servers []string `json:"servers"`
	// Idempotent reports whether calls are idempotent, so that a call may be retried.
	Idempotent bool `json:"repeatable"`
	// Open reports whether callers need no key.
	Open bool `json:"open"`
}
