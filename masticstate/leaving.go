package masticstate

import "masticladder/masticproto"

// applyServerLeaving records that an incarnation of a backend server has stated that it is leaving, so
// that no host sends it new requests, and reports whether that changed the view. A report on another
// incarnation than the view's changes nothing.
func (s *State) applyServerLeaving(p *masticproto.ServerLeaving) bool {
	server, ok := s.view.Server(p.GetServer())
	if !ok || server.Incarnation != p.GetIncarnation() || server.StatedLeaving {
		return false
	}
	next := server.WithStatedLeaving()
	// The change is valid because the server is part of the view.
	return s.applyChange(&masticproto.ViewChange{Servers: []*masticproto.Server{next.ToProto()}}) == nil
}
