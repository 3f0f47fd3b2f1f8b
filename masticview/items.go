package masticview

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of b.
func DigestOf(b []byte) Digest { return sha256.Sum256(b) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Workspace is one customer's share of the fleet.
type Workspace struct {
	Name  string `json:"name" validate:"required"`
	Owner string `json:"owner" validate:"required"`
	// RateTokensPerSecond and BurstTokens bound prompt plus reserved output over all hosts together.
	RateTokensPerSecond int64 `json:"rateTokensPerSecond" validate:"gt=0"`
	BurstTokens         int64 `json:"burstTokens" validate:"gt=0"`
	// Weight is the workspace's share of a contended backend server.
	Weight int64 `json:"weight" validate:"gte=0"`
}

// Class is the latency class of a profile.
type Class string

// The latency classes, from the most to the least urgent.
const (
	ClassQuick Class = "quick"
	ClassLong  Class = "long"
	ClassBulk  Class = "bulk"
)

// Profile binds a workspace, its models and its limits under a name.
type Profile struct {
	Name      string   `json:"name" validate:"required"`
	Workspace string   `json:"workspace" validate:"required"`
	Models    []string `json:"models"`
	Services  []string `json:"services"`
	Class     Class    `json:"class" validate:"oneof=quick long bulk"`
	// FirstTokenMillis is the target for the time to the first token, in milliseconds.
	FirstTokenMillis int64 `json:"firstTokenMillis" validate:"gt=0"`
	// MaxOutputTokens bounds the output of one request.
	MaxOutputTokens int64 `json:"maxOutputTokens" validate:"gt=0"`
}

// AllowsModel reports whether the profile lists model.
func (p Profile) AllowsModel(model string) bool { return slices.Contains(p.Models, model) }

// AllowsService reports whether the profile lists service.
func (p Profile) AllowsService(service string) bool { return slices.Contains(p.Services, service) }

// KeyState is the state of a key.
type KeyState string

// The states of a key.
const (
	KeyActive    KeyState = "active"
	KeyWithdrawn KeyState = "withdrawn"
)

// Key is a caller's key. Only the digest of its secret is kept.
type Key struct {
	ID        string   `json:"id"`
	Digest    Digest   `json:"-"`
	Workspace string   `json:"workspace"`
	Profile   string   `json:"profile"`
	State     KeyState `json:"state"`
}

// WithState returns a copy in another state.
func (k Key) WithState(s KeyState) Key {
	k.State = s
	return k
}

// HostState is the state of a host of the system.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	// HostLost is the state of a host that renews no lease; it announces itself when it is back.
	HostLost    HostState = "lost"
	HostRetired HostState = "retired"
)

// Host is one host of the system itself.
type Host struct {
	Name string `json:"name" validate:"required"`
	// Address, Admin and Peer are IP:port for callers, operators and other hosts.
	Address string    `json:"address" validate:"required,hostname_port"`
	Admin   string    `json:"admin"`
	Peer    string    `json:"peer"`
	Zone    string    `json:"zone" validate:"required"`
	Owner   string    `json:"owner"`
	Weight  int64     `json:"weight" validate:"gte=0"`
	State   HostState `json:"state"`
}

// WithState returns a copy in another state.
func (h Host) WithState(s HostState) Host {
	h.State = s
	return h
}

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

// Service is a plain service that the system routes to.
type Service struct {
	Name    string   `json:"name" validate:"required"`
	Servers []string `json:"servers"`
	// Repeatable states whether a call may be sent again.
	Repeatable bool `json:"repeatable"`
	// Open states that the service is open to all, without a key.
	Open bool `json:"open"`
}

// Quarantine refuses a request whose content ended several backend servers.
type Quarantine struct {
	Digest Digest    `json:"digest"`
	Until  time.Time `json:"until"`
}
