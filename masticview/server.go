package masticview

import (
	"slices"
	"strings"
	"time"
)

// ServerState is the state of a backend server.
type ServerState string

// The states of a backend server.
const (
	ServerActive ServerState = "active"
	// ServerLoading is the state of a server that loads other weights; it gets no new requests for that model.
	ServerLoading ServerState = "loading"
	ServerLeaving ServerState = "leaving"
	ServerRetired ServerState = "retired"
)

// ServerKind distinguishes model engines from servers of plain services.
type ServerKind string

// The kinds of backend server.
const (
	ServerEngine  ServerKind = "engine"
	ServerService ServerKind = "service"
)

// Server is a backend server: a model engine or a server of a plain service.
type Server struct {
	Name string     `json:"name" validate:"required"`
	Kind ServerKind `json:"kind" validate:"oneof=engine service"`
	// URL is the base URL, scheme://IP:port.
	URL    string   `json:"url" validate:"required,url"`
	Owner  string   `json:"owner"`
	Zone   string   `json:"zone"`
	Models []string `json:"models"`
	// WeightsVersion is the version of the weights that the server was last ordered to load, if it is the same for
	// all of its models; see VersionOf.
	WeightsVersion string `json:"weightsVersion"`
	// ModelVersions are the versions of the weights of Models, in the same order; empty if they don't differ.
	ModelVersions []string `json:"modelVersions,omitempty"`
	// LoadingModel is the model whose weights a server in state loading loads; empty if it may be any.
	LoadingModel string `json:"loadingModel,omitempty"`
	// ChecksFencing reports whether the server refuses orders with an outdated fencing token.
	ChecksFencing bool        `json:"checksFencing"`
	State         ServerState `json:"state"`
	// Service is the plain service or the pool of engines that the server belongs to.
	Service string `json:"service,omitempty"`
	// Incarnation identifies one run of the server's process; empty if unknown.
	Incarnation string `json:"incarnation,omitempty"`
	// StartedAt is when the process of the incarnation started, on the server's clock; zero if unknown.
	StartedAt time.Time `json:"startedAt,omitzero"`
	// Slots is the number of requests that the server runs concurrently; zero if unknown.
	Slots int64 `json:"slots,omitempty"`
	// StatedLeaving reports that the incarnation stated in an answer that it is leaving. It holds whatever
	// a list of servers says.
	StatedLeaving bool `json:"statedLeaving,omitempty"`
	// Software is the version of the server's software; empty if unknown. A stream can go on only at a server
	// of the version that began it.
	Software string `json:"software,omitempty"`
}

// WithState returns a copy in the given state.
func (s Server) WithState(state ServerState) Server {
	s.State = state
	return s
}

// WithStatedLeaving returns a copy that has stated that it is leaving.
func (s Server) WithStatedLeaving() Server {
	s.State, s.StatedLeaving = ServerLeaving, true
	return s
}

// Serves reports whether the server has model loaded.
func (s Server) Serves(model string) bool { return slices.Contains(s.Models, model) }

// Address returns the IP:port of the server's URL.
func (s Server) Address() string {
	_, address, _ := strings.Cut(s.URL, "://")
	return address
}

// PoolModel returns the name that identifies a model in one pool of engines. The pool is part of the
// name because several pools may serve the same model with different servers.
func PoolModel(pool, model string) string { return pool + "/" + model }
