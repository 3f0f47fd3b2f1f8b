package masticstate

import (
	"masticladder/masticcall"
	"masticladder/masticproto"
)

// applyOrigins records and ends streams of a host and answers its questions. A stream without a record was
// begun by the base version of its service.
func (s *State) applyOrigins(b *masticproto.StreamOrigins) OriginsResult {
	result := OriginsResult{Unrecorded: s.origins.Apply(b)}
	for _, asked := range b.GetAsked() {
		var origin masticcall.StreamOrigin
		if len(asked.GetKey()) == len(masticcall.StreamKey{}) {
			origin.Software, origin.Recorded = s.origins.Find(masticcall.StreamKey(asked.GetKey()))
		}
		if !origin.Recorded {
			origin.Software, _ = s.view.BaseSoftware(asked.GetService())
		}
		result.Origins = append(result.Origins, origin)
	}
	return result
}

// Origins returns the number of recorded streams.
func (s *State) Origins() int { return s.origins.Len() }
