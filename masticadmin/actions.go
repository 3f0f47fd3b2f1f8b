package masticadmin

import (
	"net/http"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// withdrawKey publishes the withdrawal of a key and responds once it is in force or the wait for
// that has ended.
func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request) {
	key, ok := find(w, "key", r.PathValue("id"), s.views.View().Key)
	if !ok {
		return
	}
	item := key.WithState(masticview.KeyWithdrawn).ToProto()
	s.publishAtAnyRevision(w, r, &masticproto.ViewChange{Keys: []*masticproto.Key{item}})
}

// retireHost publishes a host as retired, so that it gets no more requests from callers.
func (s *Server) retireHost(w http.ResponseWriter, r *http.Request) {
	h, ok := find(w, "host", r.PathValue("name"), s.views.View().Host)
	if !ok {
		return
	}
	item := h.WithState(masticview.HostRetired).ToProto()
	s.publishAtAnyRevision(w, r, &masticproto.ViewChange{Hosts: []*masticproto.Host{item}})
}

// retireServer publishes a backend server as retired, so that it gets no new requests.
func (s *Server) retireServer(w http.ResponseWriter, r *http.Request) {
	b, ok := find(w, "backend server", r.PathValue("name"), s.views.View().Server)
	if !ok {
		return
	}
	item := b.WithState(masticview.ServerRetired).ToProto()
	s.publishAtAnyRevision(w, r, &masticproto.ViewChange{Servers: []*masticproto.Server{item}})
}

// find returns the item called name. If there is none, it writes the error response and returns
// false.
func find[T any](w http.ResponseWriter, kind, name string, get func(string) (T, bool)) (T, bool) {
	item, ok := get(name)
	if !ok {
		writeError(w, masticerror.New(masticerror.KindNotFound, "there is no %s %q", kind, name))
	}
	return item, ok
}

// publishAtAnyRevision publishes a change without a base revision, so that it applies to the current
// one. The request must have a request ID.
func (s *Server) publishAtAnyRevision(w http.ResponseWriter, r *http.Request, change *masticproto.ViewChange) {
	id := requestID(r)
	if id == "" {
		writeError(w, masticerror.New(masticerror.KindBadRequest, "the header Mastic-Request-Id is needed"))
		return
	}
	s.publishChange(w, r, &masticproto.Publish{RequestId: id, Change: change})
}
