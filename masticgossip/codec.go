package masticgossip

import (
	"time"

	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticroute"
)

// maxExpectedIn bounds the predicted time until a backend server has a prompt.
const maxExpectedIn = time.Minute

// EncodeReport converts a report for Exchange.Receive of another host.
func EncodeReport(r masticroute.PeerReport) *masticproto.LoadReport { return encodeReport(r) }

func encodeReport(r masticroute.PeerReport) *masticproto.LoadReport {
	p := &masticproto.LoadReport{Host: r.Host, Ended: r.Ended}
	for _, s := range r.Servers {
		p.Servers = append(p.Servers, &masticproto.ServerLoad{
			Server: s.Server, Tokens: int64(s.Tokens), UrgentTokens: int64(s.QuickTokens), HeldTokens: int64(s.HeldTokens),
			Running: s.Running, Speed: int64(s.Speed),
		})
	}
	for _, t := range r.Touches {
		x := &masticproto.CacheTouch{
			Server: t.Server, ExpectedUs: t.ExpectedIn.Microseconds(), Source: t.Source, SourceTokens: t.SourceTokens,
			Gone: t.Gone, Reset_: t.Reset,
		}
		for _, piece := range t.Pieces {
			x.Pieces = append(x.Pieces, piece.ID[:])
			x.Tokens = append(x.Tokens, piece.Tokens)
			x.Parts = append(x.Parts, piece.Part)
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
		x := masticroute.Touch{
			Server: t.GetServer(), ExpectedIn: time.Duration(min(max(0, t.GetExpectedUs()), maxExpectedIn.Microseconds())) * time.Microsecond,
			Source: t.GetSource(), SourceTokens: max(0, t.GetSourceTokens()),
			Gone: t.GetGone(), Reset: t.GetReset_(),
		}
		for i, id := range t.GetPieces() {
			if i >= len(t.GetTokens()) || len(id) != len(masticprompt.PieceID{}) {
				break
			}
			piece := masticprompt.Piece{ID: masticprompt.PieceID(id), Tokens: t.GetTokens()[i]}
			if parts := t.GetParts(); i < len(parts) {
				piece.Part = parts[i]
			}
			x.Pieces = append(x.Pieces, piece)
		}
		r.Touches = append(r.Touches, x)
	}
	return r
}
