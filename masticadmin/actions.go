package masticadmin

import (
	"net/http"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// withdrawKey publishes the withdrawal of a key; the answer comes once it is in force.
func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request) {
	key, ok := find(w, "key", r.PathValue("id"), s.views.View().Key)
	if !ok {
		return
	}
	item := key.WithState(masticview.KeyWithdrawn).ToProto()
	s.order(w, r, &masticproto.ViewChange{Keys: []*masticproto.Key{item}})
}

// retireHost publishes that a host takes no more callers.
func (s *Server) retireHost(w http.ResponseWriter, r *http.Request) {
	h, ok := find(w, "host", r.PathValue("name"), s.views.View().Host)
	if !ok {
		return
	}
	item := h.WithState(masticview.HostRetired).ToProto()
	s.order(w, r, &masticproto.ViewChange{Hosts: []*masticproto.Host{item}})
}

// retireServer publishes that a backend server gets no more work.
func (s *Server) retireServer(w http.ResponseWriter, r *http.Request) {
	b, ok := find(w, "backend server", r.PathValue("name"), s.views.View().Server)
	if !ok {
		return
	}
	item := b.WithState(masticview.ServerRetired).ToProto()
	s.order(w, r, &masticproto.ViewChange{Servers: []*masticproto.Server{item}})
}

// find returns the item called name, or answers that there is none.
func find[T any](w http.ResponseWriter, what, name string, get func(string) (T, bool)) (T, bool) {
	item, ok := get(name)
	if !ok {
		writeError(w, masticerror.New(masticerror.KindNotFound, "there is no %s %q", what, name))
	}
	return item, ok
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
