package masticview

import "time"

// Quarantine refuses requests that have crashed several backend servers: those with one content, or those
// with one part of their prompts in common.
type Quarantine struct {
	// Digest identifies the content of the request, its model and prompt, or the part.
	Digest Digest    `json:"digest"`
	Until  time.Time `json:"until"`
	// Company lists, for a part, the parts that were in all requests with it under which servers ended.
	// Which of them is the cause is not known of requests that lack one of them.
	Company []Digest `json:"company,omitempty"`
	// Servers lists the incarnations whose ends decided, and DecidedAt is when.
	Servers   []string  `json:"servers,omitempty"`
	DecidedAt time.Time `json:"decidedAt,omitzero"`
}

// Covers reports whether a request with the given parts, the quarantined one among them, is like those under
// which servers ended.
func (q Quarantine) Covers(parts []Digest) bool {
	if len(q.Company) == 0 {
		return true
	}
	set := make(map[Digest]struct{}, len(parts))
	for _, d := range parts {
		set[d] = struct{}{}
	}
	for _, d := range q.Company {
		if _, ok := set[d]; !ok {
			return false
		}
	}
	return true
}
