package masticfake

// Mode is a way in which a stand-in fails.
type Mode string

// The modes.
const (
	ModeNormal Mode = "normal"
	// ModeHang accepts requests and never answers.
	ModeHang Mode = "hang"
	// ModeRefuse answers 503 to every request.
	ModeRefuse Mode = "refuse"
	// ModeHalf ends each answer in its middle as if it were whole.
	ModeHalf Mode = "half"
	// ModeCut closes the connection in the middle of each answer.
	ModeCut Mode = "cut"
	// ModeCrossed answers with the identifier of another request.
	ModeCrossed Mode = "crossed"
	// ModeCrossedEvents puts an event of another request into each stream.
	ModeCrossedEvents Mode = "crossedEvents"
	// ModeRepeat sends every event twice.
	ModeRepeat Mode = "repeat"
	// ModeGap leaves out one event of each stream.
	ModeGap Mode = "gap"
	// ModeStall stops in the middle of each stream without an end.
	ModeStall Mode = "stall"
)
