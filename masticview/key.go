package masticview

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
