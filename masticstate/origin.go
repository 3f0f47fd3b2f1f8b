package masticstate

import (
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// applyOrigins records and ends streams of a host and answers its questions.
func (s *State) applyOrigins(b *masticproto.StreamOrigins) OriginsResult {
	result := OriginsResult{Unrecorded: s.origins.Apply(b)}
	for _, asked := range b.GetAsked() {
		base, _ := s.view.BaseSoftware(asked.GetService())
		result.Origins = append(result.Origins, s.origins.Origin(asked, base))
	}
	return result
}

// observeVersions tells the records of streams of a change of the view, which was before.
func (s *State) observeVersions(before masticview.View, c *masticproto.ViewChange) {
	if c.GetDocument() != nil {
		s.origins.ObserveTakeUpTime(s.view.TakeUpTime())
	}
	if !s.versionsChanged(before, c) {
		return
	}
	for service, servers := range s.view.SoftwareVersions() {
		if base, ok := s.view.BaseSoftware(service); ok {
			s.origins.ObserveServers(service, base, servers)
		}
	}
}

// versionsChanged reports whether a change may add or remove servers of a software version.
func (s *State) versionsChanged(before masticview.View, c *masticproto.ViewChange) bool {
	if len(c.GetRemovedServers())+len(c.GetBaseSoftware()) > 0 {
		return true
	}
	for _, p := range c.GetServers() {
		old, known := before.Server(p.GetName())
		next, _ := s.view.Server(p.GetName())
		retired := old.State == masticview.ServerRetired
		if !known || old.Service != next.Service || old.Software != next.Software || retired != (next.State == masticview.ServerRetired) {
			return true
		}
	}
	return false
}

// TakeUpTime returns the longest time for which a stream that has begun by now may be taken up.
func (s *State) TakeUpTime() time.Duration { return s.origins.TakeUpTime() }

// Origins returns the number of recorded streams.
func (s *State) Origins() int { return s.origins.Len() }
