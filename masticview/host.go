package masticview

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
