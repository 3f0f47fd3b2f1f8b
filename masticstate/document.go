package masticstate

import (
	"bytes"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// putDocument replaces the document in force if p has a higher number. A lower or equal
// number changes nothing; different content under the number in force is a conflict.
func (s *State) putDocument(p *masticproto.PutDocument) DocumentResult {
	d, current := p.GetDocument(), s.view.Document()
	switch {
	case d.GetNumber() <= 0:
		return DocumentResult{Err: masticerror.New(masticerror.KindBadRequest, "a document without a number")}
	case d.GetNumber() == current.GetNumber() && !bytes.Equal(d.GetContentDigest(), current.GetContentDigest()):
		return s.documentResult(masticerror.New(masticerror.KindConflict, "number %d stands for another document", d.GetNumber()))
	case d.GetNumber() <= current.GetNumber():
		r := s.documentResult(nil)
		r.Repeated = true
		return r
	}
	if err := s.applyChange(&masticproto.ViewChange{Document: d}); err != nil {
		return s.documentResult(err)
	}
	s.documentContent = p.GetContent()
	return s.documentResult(nil)
}

func (s *State) documentResult(err error) DocumentResult {
	return DocumentResult{Number: uint64(s.view.Document().GetNumber()), Err: err}
}

// Document returns the number of the document in force and its content as the operator
// sent it.
func (s *State) Document() (int64, []byte) { return s.view.Document().GetNumber(), s.documentContent }

// nameWeights sets the version of a model's weights. A version that is not higher than the
// current one changes nothing.
func (s *State) nameWeights(p *masticproto.NameWeights) WeightsResult {
	if p.GetModel() == "" || p.GetVersion() <= 0 {
		return WeightsResult{Err: masticerror.New(masticerror.KindBadRequest, "weights need a model and a positive version")}
	}
	if w, _ := s.view.Weights(p.GetModel()); w.Version >= p.GetVersion() {
		return WeightsResult{}
	}
	w := masticview.Weights{Model: p.GetModel(), Version: p.GetVersion(), NamedAt: s.now}
	return WeightsResult{Err: s.applyChange(&masticproto.ViewChange{Weights: []*masticproto.Weights{w.ToProto()}})}
}

// applyLoadOrder records an order to load weights and reports whether it took effect. A
// backend server of a pool is loading, and gets no new requests, until the order has ended;
// from then on it has the ordered version.
func (s *State) applyLoadOrder(o *masticproto.LoadOrder) bool {
	if !s.loads.Apply(o) {
		return false
	}
	server, ok := s.view.Server(o.GetServer())
	if !ok || server.Service == "" {
		return true
	}
	next := server
	if o.GetDone() {
		next = server.WithVersionOf(o.GetModel(), o.GetWeightsVersion())
		next.State, next.LoadingModel = stateAfterLoad(server.State), ""
	} else if server.State == masticview.ServerActive {
		next = server.WithLoading(o.GetModel())
	}
	if next.State == server.State && next.LoadingModel == server.LoadingModel && next.VersionOf(o.GetModel()) == server.VersionOf(o.GetModel()) {
		return true
	}
	// The change is valid because the server is part of the view.
	return s.applyChange(&masticproto.ViewChange{Servers: []*masticproto.Server{next.ToProto()}}) == nil
}

// stateAfterLoad returns the state of a server in state s after its load has ended.
func stateAfterLoad(s masticview.ServerState) masticview.ServerState {
	if s == masticview.ServerLoading {
		return masticview.ServerActive
	}
	return s
}
