package masticadmin

import (
	"net/http"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// withdrawKey publishes the withdrawal of a key; the answer comes once it is in force.
func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	key, ok := s.views.View().Key(id)
	if !ok {
		writeError(w, masticerror.New(masticerror.KindNotFound, "there is no key %q", id))
		return
	}
	item := key.WithState(masticview.KeyWithdrawn).ToProto()
	s.order(w, r, &masticproto.ViewChange{Keys: []*masticproto.Key{item}})
}

// retireHost publishes that a host takes no more callers.
func (s *Server) retireHost(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	h, ok := s.views.View().Host(name)
	if !ok {
		writeError(w, masticerror.New(masticerror.KindNotFound, "there is no host %q", name))
		return
	}
	item := h.WithState(masticview.HostRetired).ToProto()
	s.order(w, r, &masticproto.ViewChange{Hosts: []*masticproto.Host{item}})
}

// retireServer publishes that a backend server gets no more work.
func (s *Server) retireServer(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	b, ok := s.views.View().Server(name)
	if !ok {
		writeError(w, masticerror.New(masticerror.KindNotFound, "there is no backend server %q", name))
		return
	}
	item := b.WithState(masticview.ServerRetired).ToProto()
	s.order(w, r, &masticproto.ViewChange{Servers: []*masticproto.Server{item}})
}

// order publishes a change that applies to whichever revision is current.
func (s *Server) order(w http.ResponseWriter, r *http.Request, change *masticproto.ViewChange) {
	id := requestID(r)
	if id == "" {
		writeError(w, masticerror.New(masticerror.KindBadRequest, "the header Mastic-Request-Id is needed"))
		return
	}
	s.change(w, r, &masticproto.Publish{RequestId: id, Change: change})
}
