package masticstate

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticledger"
	"masticladder/masticorigin"
	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticsuspect"
	"masticladder/masticusage"
	"masticladder/masticview"
)

// Frozen is a point-in-time copy of a state. Any goroutine may encode it.
type Frozen struct {
	// partial lacks the view and the ledger, which Bytes encodes.
	partial *masticproto.StateSnapshot
	view    masticview.View
	ledger  masticledger.Frozen
}

// Applied returns the index of the last command that the copy contains.
func (f Frozen) Applied() uint64 { return f.partial.GetApplied() }

// Freeze returns a copy of the current state. It takes far less time than encoding it.
func (s *State) Freeze() Frozen {
	horizon, tombstones := s.publishes.expired.Save()
	p := &masticproto.StateSnapshot{
		NowUnixMs:            s.now.UnixMilli(),
		Applied:              s.applied,
		Publishes:            s.publishes.save(),
		PublishTombstones:    tombstones,
		PublishHorizonUnixMs: horizon,
		QuotaTerm:            s.quota.term,
		QuotaSequence:        s.quota.sequence,
		Usage:                s.usage.Snapshot(),
		Suspects:             s.suspects.Snapshot(),
		Loads:                s.loads.Records(),
		DocumentContent:      s.documentContent,
		Origins:              s.origins.Snapshot(),
	}
	for _, n := range slices.Sorted(maps.Keys(s.quota.usedTokens)) {
		p.QuotaLevels = append(p.QuotaLevels, &masticproto.QuotaLevel{Workspace: n, UsedTokens: s.quota.usedTokens[n]})
	}
	return Frozen{partial: p, view: s.view, ledger: s.ledger.Freeze()}
}

// Bytes returns the encoded state; equal states give equal bytes.
func (f Frozen) Bytes() []byte {
	f.partial.View = f.view.Snapshot()
	f.partial.Ledger = f.ledger.Snapshot()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(f.partial)
	if err != nil {
		panic("masticstate: encode snapshot: " + err.Error())
	}
	return b
}

// Snapshot returns the encoded current state.
func (s *State) Snapshot() []byte { return s.Freeze().Bytes() }

// Restore replaces the state by the one encoded in b. Error: badRequest; the state is then
// unchanged.
func (s *State) Restore(b []byte) error {
	p := &masticproto.StateSnapshot{}
	if err := proto.Unmarshal(b, p); err != nil {
		return masticerror.Wrap(err, masticerror.KindBadRequest, "a snapshot that cannot be decoded")
	}
	next := New()
	next.now = time.UnixMilli(p.GetNowUnixMs())
	next.applied = p.GetApplied()
	var err error
	if next.view, err = masticview.FromSnapshot(p.GetView()); err != nil {
		return err
	}
	if next.ledger, err = masticledger.Restore(p.GetLedger()); err != nil {
		return err
	}
	if next.suspects, err = masticsuspect.Restore(p.GetSuspects()); err != nil {
		return err
	}
	next.publishes.restore(p.GetPublishes())
	next.publishes.expired = masticledger.RestoreExpiredKeys(p.GetPublishHorizonUnixMs(), p.GetPublishTombstones())
	next.quota.term, next.quota.sequence = p.GetQuotaTerm(), p.GetQuotaSequence()
	for _, l := range p.GetQuotaLevels() {
		next.quota.usedTokens[l.GetWorkspace()] = l.GetUsedTokens()
	}
	next.usage = masticusage.Restore(p.GetUsage())
	next.loads = masticplace.NewOrders(p.GetLoads())
	next.documentContent = p.GetDocumentContent()
	next.origins = masticorigin.Restore(p.GetOrigins())
	*s = *next
	return nil
}
