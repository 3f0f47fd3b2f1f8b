package masticview

// KeyState is the state of a key.
type KeyState string

// The states of a key. KeyWithdrawn is final.
const (
	KeyActive    KeyState = "active"
	KeyWithdrawn KeyState = "withdrawn"
)

// Key is the API key of a caller. Only the digest of its secret is stored.
type Key struct {
	ID        string   `json:"id"`
	Digest    Digest   `json:"-"`
	Workspace string   `json:"workspace"`
	Profile   string   `json:"profile"`
	State     KeyState `json:"state"`
}

// WithState returns a copy in state s.
func (k Key) WithState(s KeyState) Key {
	k.State = s
	return k
}
