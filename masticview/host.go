package masticview

// HostState is the state of a host.
type HostState string

// The states of a host. A HostLeaving host is draining; HostRetired is final.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	// HostLost is the state of a host that has stopped renewing its lease. The host announces
	// itself as live when it is back.
	HostLost    HostState = "lost"
	HostRetired HostState = "retired"
)

// Host is one host of the router, not a backend server.
type Host struct {
	Name string `json:"name" validate:"required"`
	// Address, Admin and Peer are the IP:port for callers, for operators and for other hosts.
	Address string    `json:"address" validate:"required,hostname_port"`
	Admin   string    `json:"admin"`
	Peer    string    `json:"peer"`
	Zone    string    `json:"zone" validate:"required"`
	Owner   string    `json:"owner"`
	Weight  int64     `json:"weight" validate:"gte=0"`
	State   HostState `json:"state"`
}

// WithState returns a copy in state s.
func (h Host) WithState(s HostState) Host {
	h.State = s
	return h
}
