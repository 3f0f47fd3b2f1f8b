package masticstate

import (
	"bytes"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// putDocument takes a document. The highest number takes effect; one that is not higher
// changes nothing, and other content under the held number is a conflict.
func (s *State) putDocument(p *masticproto.PutDocument) DocumentResult {
	d, held := p.GetDocument(), s.view.Document()
	switch {
	case d.GetNumber() <= 0:
		return DocumentResult{Err: masticerror.New(masticerror.KindBadRequest, "a document without a number")}
	case d.GetNumber() == held.GetNumber() && !bytes.Equal(d.GetContentDigest(), held.GetContentDigest()):
		return s.documentResult(masticerror.New(masticerror.KindConflict, "number %d stands for another document", d.GetNumber()))
	case d.GetNumber() <= held.GetNumber():
		r := s.documentResult(nil)
		r.Repeated = true
		return r
	}
	if err := s.change(&masticproto.ViewChange{Document: d}); err != nil {
		return s.documentResult(err)
	}
	s.content = p.GetContent()
	return s.documentResult(nil)
}

func (s *State) documentResult(err error) DocumentResult {
	return DocumentResult{Number: uint64(s.view.Document().GetNumber()), Err: err}
}

// Document returns the number of the newest document and what the operator sent.
func (s *State) Document() (int64, []byte) { return s.view.Document().GetNumber(), s.content }

// nameWeights takes a version of a model's weights. A version that is not higher than the
// one named changes nothing.
func (s *State) nameWeights(p *masticproto.NameWeights) WeightsResult {
	if p.GetModel() == "" || p.GetVersion() <= 0 {
		return WeightsResult{Err: masticerror.New(masticerror.KindBadRequest, "weights need a model and a positive version")}
	}
	if w, _ := s.view.Weights(p.GetModel()); w.Version >= p.GetVersion() {
		return WeightsResult{}
	}
	w := masticview.Weights{Model: p.GetModel(), Version: p.GetVersion(), NamedAt: s.now}
	return WeightsResult{Err: s.change(&masticproto.ViewChange{Weights: []*masticproto.Weights{w.ToProto()}})}
}

// load records an order to load weights. A backend server that belongs to a pool gets no
// new work from the order to its end, and has the ordered version after it.
func (s *State) load(o *masticproto.LoadOrder) bool {
	if !s.loads.Apply(o) {
		return false
	}
	server, ok := s.view.Server(o.GetServer())
	if !ok || server.Service == "" {
		return true
	}
	next := server
	if o.GetDone() {
		next.WeightsVersion = o.GetWeightsVersion()
		next.State = afterLoad(server.State)
	} else if server.State == masticview.ServerActive {
		next.State = masticview.ServerLoading
	}
	if next.State == server.State && next.WeightsVersion == server.WeightsVersion {
		return true
	}
	// The change names a server of the view, so it is valid.
	return s.change(&masticproto.ViewChange{Servers: []*masticproto.Server{next.ToProto()}}) == nil
}

// afterLoad returns the state of a server whose load has ended.
func afterLoad(s masticview.ServerState) masticview.ServerState {
	if s == masticview.ServerLoading {
		return masticview.ServerActive
	}
	return s
}
