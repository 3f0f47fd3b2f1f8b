package masticgossip

import (
	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticroute"
)

func encodeReport(r masticroute.PeerReport) *masticproto.LoadReport {
	p := &masticproto.LoadReport{Host: r.Host, Ended: r.Ended}
	for _, s := range r.Servers {
		p.Servers = append(p.Servers, &masticproto.ServerLoad{
			Server: s.Server, Tokens: int64(s.Tokens), UrgentTokens: int64(s.QuickTokens), HeldTokens: int64(s.HeldTokens),
			Running: s.Running, Speed: int64(s.Speed),
		})
	}
	for _, t := range r.Touches {
		x := &masticproto.CacheTouch{Server: t.Server}
		for _, piece := range t.Pieces {
			x.Pieces = append(x.Pieces, piece.ID[:])
			x.Tokens = append(x.Tokens, piece.Tokens)
		}
		p.Touches = append(p.Touches, x)
	}
	return p
}

func decodeReport(p *masticproto.LoadReport) masticroute.PeerReport {
	r := masticroute.PeerReport{Host: p.GetHost(), Ended: p.GetEnded()}
	for _, s := range p.GetServers() {
		r.Servers = append(r.Servers, masticroute.ServerLoad{
			Server: s.GetServer(), Tokens: float64(s.GetTokens()), QuickTokens: float64(s.GetUrgentTokens()), HeldTokens: float64(s.GetHeldTokens()),
			Running: s.GetRunning(), Speed: float64(s.GetSpeed()),
		})
	}
	for _, t := range p.GetTouches() {
		x := masticroute.Touch{Server: t.GetServer()}
		for i, id := range t.GetPieces() {
			if i >= len(t.GetTokens()) || len(id) != len(masticprompt.PieceID{}) {
				break
			}
			x.Pieces = append(x.Pieces, masticprompt.Piece{ID: masticprompt.PieceID(id), Tokens: t.GetTokens()[i]})
		}
		r.Touches = append(r.Touches, x)
	}
	return r
}
