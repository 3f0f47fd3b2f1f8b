package masticview

import (
	"slices"
)

// ServerState is the state of a backend server.
type ServerState string

// The states of a backend server.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
	ServerRetired ServerState = "retired"
)

// ServerKind tells model engines from plain services.
type ServerKind string

// The kinds of backend server.
const (
	ServerEngine  ServerKind = "engine"
	ServerService ServerKind = "service"
)

// Server is a backend server: a model engine or a host of a plain service.
type Server struct {
	Name string     `json:"name" validate:"required"`
	Kind ServerKind `json:"kind" validate:"oneof=engine service"`
	// URL is the base address, scheme://IP:port.
	URL    string   `json:"url" validate:"required,url"`
	Owner  string   `json:"owner"`
	Zone   string   `json:"zone"`
	Models []string `json:"models"`
	// WeightsVersion is the version of the weights that the server was last ordered to load.
	WeightsVersion string `json:"weightsVersion"`
	// ChecksFencing states whether the server refuses orders with an old fencing number.
	ChecksFencing bool        `json:"checksFencing"`
	State         ServerState `json:"state"`
}

// WithState returns a copy in another state.
func (s Server) WithState(state ServerState) Server {
	s.State = state
	return s
}

// Serves reports whether the server has model loaded.
func (s Server) Serves(model string) bool { return slices.Contains(s.Models, model) }
