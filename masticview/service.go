package masticview

// Service is a plain service that the system routes to.
type Service struct {
	Name    string   `json:"name" validate:"required"`
	Servers []string `json:"servers"`
	// Repeatable states whether a call may be sent again.
	Repeatable bool `json:"repeatable"`
	// Open states that the service is open to all, without a key.
	Open bool `json:"open"`
}
