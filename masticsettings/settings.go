// Package masticsettings reads and validates the settings file of a host, which is JSON with
// comments.
package masticsettings

import "slices"

// Role is a function of a host; a host may have several.
type Role string

// The roles of a host.
const (
	// RoleEntry hosts serve callers.
	RoleEntry Role = "entry"
	// RoleControl hosts keep the replicated log on their disk.
	RoleControl Role = "control"
)

// defaultDiskMegabytes is the default of Settings.DiskMegabytes.
const defaultDiskMegabytes = 1024

// Settings is the content of a host's settings file. Addresses are IP:port.
type Settings struct {
	Host  string `json:"host" validate:"required,max=64"`
	Owner string `json:"owner" validate:"required"`
	// Zone is the availability zone.
	Zone  string `json:"zone" validate:"required"`
	Roles []Role `json:"roles" validate:"required,unique,dive,oneof=entry control"`
	// Listen is the address for callers, Admin the one for operators and Peer the one for other
	// hosts.
	Listen string `json:"listen" validate:"required,ip_port"`
	Admin  string `json:"admin" validate:"required,ip_port"`
	Peer   string `json:"peer" validate:"required,ip_port"`
	// PeerListen is the address bound for other hosts if it differs from Peer, for example behind
	// network address translation. Connections to other hosts use its IP as their source address.
	PeerListen string `json:"peerListen" validate:"omitempty,ip_port"`
	// Weight is the host's share of callers' requests relative to other hosts.
	Weight int64 `json:"weight" validate:"gte=1,lte=1000"`
	// DataFolder contains all files of a control host.
	DataFolder string `json:"dataFolder"`
	// DiskMegabytes is the part of the disk, in MiB, that the files in DataFolder may fill.
	DiskMegabytes int64 `json:"diskMegabytes" validate:"gte=16,lte=1048576"`
	// Control lists the control hosts that the fleet starts with.
	Control []ControlHost `json:"control" validate:"required,unique=Host,dive"`
	// Zones lists the availability zones with their number of hosts. It is optional.
	Zones []Zone `json:"zones" validate:"unique=Name,dive"`
	// OperatorKeys are SHA-256 digests of operators' keys, in hexadecimal.
	OperatorKeys []string  `json:"operatorKeys" validate:"dive,len=64,hexadecimal"`
	Log          Log       `json:"log"`
	Timing       Timing    `json:"timing"`
	Placement    Placement `json:"placement"`
	TLS          TLS       `json:"tls"`
}

// ControlHost is a control host with its address for other hosts.
type ControlHost struct {
	Host string `json:"host" validate:"required"`
	Peer string `json:"peer" validate:"required,ip_port"`
	Zone string `json:"zone"`
}

// Zone is an availability zone.
type Zone struct {
	Name  string `json:"name" validate:"required"`
	Hosts int    `json:"hosts" validate:"gte=1,lte=10000"`
}

// Log is the format and level of the log.
type Log struct {
	Format string `json:"format" validate:"oneof=json text"`
	Level  string `json:"level" validate:"oneof=debug info warn error"`
}

// Timing contains timeouts, intervals and lifetimes, all in milliseconds.
type Timing struct {
	ViewLeaseMillis   int64 `json:"viewLeaseMillis" validate:"gte=200,lte=16000"`
	HeartbeatMillis   int64 `json:"heartbeatMillis" validate:"gte=10,lte=5000"`
	ElectionMillis    int64 `json:"electionMillis" validate:"gte=50,lte=15000"`
	AddressListMillis int64 `json:"addressListMillis" validate:"gte=100,lte=300000"`
	DrainMillis       int64 `json:"drainMillis" validate:"gte=0,lte=3600000"`
	UsageReportMillis int64 `json:"usageReportMillis" validate:"gte=100,lte=60000"`
}

// Placement limits the loading of model weights.
type Placement struct {
	// LoadsAtOnce is, for each owner, the number of backend servers that may load weights
	// concurrently.
	LoadsAtOnce map[string]int `json:"loadsAtOnce" validate:"dive,gte=1,lte=100"`
	// OrderMillis is the timeout of a load.
	OrderMillis int64 `json:"orderMillis" validate:"gte=100,lte=600000"`
}

// TLS contains the names of certificate files. They may be empty only if Plain is set.
type TLS struct {
	// Plain allows unencrypted connections.
	Plain bool `json:"plain"`
	// Certificate and Key are used towards callers and operators.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// PeerCertificate, PeerKey and PeerAuthority authenticate hosts to one another.
	PeerCertificate string `json:"peerCertificate"`
	PeerKey         string `json:"peerKey"`
	PeerAuthority   string `json:"peerAuthority"`
}

// Default returns settings with the default values; fields without a default are empty.
func Default() Settings {
	return Settings{
		Roles:         []Role{RoleEntry},
		Weight:        1,
		DiskMegabytes: defaultDiskMegabytes,
		Log:           Log{Format: "json", Level: "info"},
		Timing: Timing{
			ViewLeaseMillis:   2000,
			HeartbeatMillis:   100,
			ElectionMillis:    300,
			AddressListMillis: 5000,
			DrainMillis:       60000,
			UsageReportMillis: 2000,
		},
		Placement: Placement{LoadsAtOnce: map[string]int{"association": 3, "glenmorven": 2}, OrderMillis: 30000},
	}
}

// PeerBound returns the address to bind for other hosts.
func (s Settings) PeerBound() string {
	if s.PeerListen != "" {
		return s.PeerListen
	}
	return s.Peer
}

// Has reports whether the host has role r.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }
