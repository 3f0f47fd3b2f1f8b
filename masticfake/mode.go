package masticfake

// Mode is a fault that a fake server simulates.
type Mode string

// The modes.
const (
	ModeNormal Mode = "normal"
	// ModeHang accepts requests and never responds.
	ModeHang Mode = "hang"
	// ModeRefuse responds with 503 to every request.
	ModeRefuse Mode = "refuse"
	// ModeHalf ends each response of an Engine halfway, without a transport error. A Service treats
	// it as ModeCut.
	ModeHalf Mode = "half"
	// ModeCut closes the connection halfway through each response.
	ModeCut Mode = "cut"
	// ModeCrossed responds with the identifier of another request.
	ModeCrossed Mode = "crossed"
	// ModeCrossedEvents inserts an event of another request into each stream.
	ModeCrossedEvents Mode = "crossedEvents"
	// ModeRepeat sends every event twice.
	ModeRepeat Mode = "repeat"
	// ModeGap omits one event of each stream.
	ModeGap Mode = "gap"
	// ModeStall stops sending halfway through each stream and leaves the connection open.
	ModeStall Mode = "stall"
)
