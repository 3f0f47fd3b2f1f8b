package masticbody

// Reservation is a part of a budget whose size changes. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve returns an empty reservation. That of a nil budget has no limit.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Resize makes the reservation n bytes. It reports false, and changes nothing, if the budget has no room.
func (r *Reservation) Resize(n int64) bool {
	switch {
	case r.budget == nil:
		return true
	case n <= r.bytes:
		r.budget.used.Add(n - r.bytes)
	case !r.budget.reserve(n - r.bytes):
		return false
	}
	r.bytes = n
	return true
}

// Release makes the reservation empty.
func (r *Reservation) Release() { r.Resize(0) }
