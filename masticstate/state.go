// Package masticstate is the replicated state machine. It applies the commands of the log
// in order to the view, the order ledger, the quota bounds, the usage totals, the suspects
// and the load orders. It is deterministic. Its time is taken from the commands only and
// never decreases.
package masticstate

import (
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

// Bounds of the view deltas kept for hosts. A host that is further behind gets a snapshot.
const (
	MaxDeltas = 1024
	// MaxDeltaBytes bounds the memory for deltas: about 12 deltas of a large document, which
	// takes 40 kB with some hundred routes.
	MaxDeltaBytes = 512 << 10
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	now       time.Time
	applied   uint64
	view      masticview.View
	deltas    []*masticproto.ViewDelta
	publishes publishHistory
	ledger    *masticledger.Ledger
	quota     quotaCheckpoint
	usage     *masticusage.Totals
	suspects  *masticsuspect.Tracker
	loads     *masticplace.Orders
	origins   *masticorigin.Records
	// quarantined are the requests that the last command quarantined, quarantineErr is why it could not.
	quarantined   []masticview.Digest
	quarantineErr error
	// documentContent is the document in force as its operator sent it.
	documentContent []byte
	// deltaBytes is the encoded size of all deltas.
	deltaBytes int
}

// quotaCheckpoint is the last quota checkpoint: its term, its sequence number and the
// bounds on the tokens used by each workspace.
type quotaCheckpoint struct {
	term, sequence uint64
	usedTokens     map[string]int64
}

// New returns the empty state.
func New() *State {
	return &State{
		now:       time.UnixMilli(0),
		publishes: newPublishHistory(),
		ledger:    masticledger.New(),
		quota:     quotaCheckpoint{usedTokens: make(map[string]int64)},
		usage:     masticusage.NewTotals(),
		suspects:  masticsuspect.New(),
		loads:     masticplace.NewOrders(nil),
		origins:   masticorigin.New(),
	}
}

// Apply applies the command at the given index of the log and returns its result. For an
// index that was applied before it returns an InvalidResult and changes nothing.
func (s *State) Apply(index uint64, c *masticproto.Command) Result {
	if index <= s.applied {
		return InvalidResult{Err: masticerror.New(masticerror.KindInternal, "index %d was applied before", index)}
	}
	s.applied = index
	if at := time.UnixMilli(c.GetAtUnixMs()); at.After(s.now) {
		s.now = at
	}
	s.quarantined, s.quarantineErr = nil, nil
	s.ledger.Expire(s.now)
	s.publishes.expire(s.now)
	return s.dispatch(c)
}

func (s *State) dispatch(c *masticproto.Command) Result {
	switch k := c.GetKind().(type) {
	case *masticproto.Command_Publish:
		return s.publish(k.Publish)
	case *masticproto.Command_Reserve:
		r, err := s.ledger.Reserve(s.now, k.Reserve)
		return ReserveResult{Reservation: r, Err: err}
	case *masticproto.Command_Release:
		return ReleaseResult{Released: s.ledger.Release(s.now, k.Release)}
	case *masticproto.Command_Record:
		return RecordResult{Recorded: s.ledger.Record(k.Record)}
	case *masticproto.Command_Quota:
		return s.applyQuotaCheckpoint(k.Quota)
	case *masticproto.Command_Usage:
		return UsageResult{Sequence: k.Usage.GetSequence(), Open: s.usage.Merge(s.now, k.Usage)}
	case *masticproto.Command_Suspect:
		return s.applySuspectReport(k.Suspect)
	case *masticproto.Command_SuspectHold:
		return s.holdSuspect(k.SuspectHold)
	case *masticproto.Command_SuspectEnd:
		postponed := s.suspects.ReleaseHold(s.now, k.SuspectEnd)
		s.endClearedQuarantines()
		s.quarantine(postponed, 0)
		return EndResult{}
	case *masticproto.Command_Load:
		return LoadResult{Applied: s.applyLoadOrder(k.Load)}
	case *masticproto.Command_Document:
		return s.putDocument(k.Document)
	case *masticproto.Command_Weights:
		return s.nameWeights(k.Weights)
	case *masticproto.Command_Leaving:
		return LeavingResult{Applied: s.applyServerLeaving(k.Leaving)}
	case *masticproto.Command_Origins:
		return s.applyOrigins(k.Origins)
	case *masticproto.Command_OrderRollout:
		return s.orderRollout(k.OrderRollout)
	case *masticproto.Command_StepRollout:
		return s.stepRollout(k.StepRollout)
	case *masticproto.Command_Tick:
		s.origins.Tick(k.Tick.GetElapsedUs())
		s.usage.Close(s.now)
		s.suspects.Expire(s.now)
		return TickResult{}
	default:
		return InvalidResult{Err: masticerror.New(masticerror.KindBadRequest, "a command of an unknown kind")}
	}
}

// applyChange creates the next revision of the view and keeps its delta.
func (s *State) applyChange(c *masticproto.ViewChange) error {
	next, err := s.view.Apply(c, s.now)
	if err != nil {
		return err
	}
	before := s.view
	s.view = next
	s.observeVersions(before, c)
	d := &masticproto.ViewDelta{Revision: next.Revision(), AtUnixMs: s.now.UnixMilli(), Change: c}
	s.deltas = append(s.deltas, d)
	s.deltaBytes += proto.Size(d)
	for len(s.deltas) > MaxDeltas || (s.deltaBytes > MaxDeltaBytes && len(s.deltas) > 1) {
		s.deltaBytes -= proto.Size(s.deltas[0])
		s.deltas[0] = nil
		s.deltas = s.deltas[1:]
	}
	return nil
}

// applyQuotaCheckpoint stores c unless its term and sequence are not higher than those of
// the last checkpoint.
func (s *State) applyQuotaCheckpoint(c *masticproto.QuotaCheckpoint) QuotaResult {
	out := QuotaResult{Term: c.GetTerm(), Sequence: c.GetSequence()}
	if c.GetTerm() < s.quota.term || (c.GetTerm() == s.quota.term && c.GetSequence() <= s.quota.sequence) {
		return out
	}
	s.quota.term, s.quota.sequence = c.GetTerm(), c.GetSequence()
	for _, l := range c.GetLevels() {
		s.quota.usedTokens[l.GetWorkspace()] = l.GetUsedTokens()
	}
	out.Applied = true
	return out
}

// applySuspectReport processes a report and quarantines the requests that it proves to be
// harmful. The quarantines take effect with the next revision of the view.
func (s *State) applySuspectReport(r *masticproto.SuspectReport) SuspectResult {
	digests, err := s.suspects.Report(s.now, r)
	result := SuspectResult{
		Server: r.GetServer(), Verdict: r.GetVerdict(), Requests: len(r.GetDigests()), Parts: len(r.GetParts()),
		Failures: s.suspects.MostFailures(r.GetDigests()), Err: err,
	}
	if err == nil {
		s.endClearedQuarantines()
		s.quarantine(digests, max(r.GetQuarantineUntilUnixMs(), s.now.Add(minQuarantine).UnixMilli()))
		result.Err = s.quarantineErr
	}
	return result
}

// endClearedQuarantines ends the quarantines of parts with which a request has completed. Others for which one of them stood are
// represented by another part then.
func (s *State) endClearedQuarantines() {
	c := &masticproto.ViewChange{}
	for _, d := range s.suspects.TakeCleared() {
		if _, ok := s.view.Quarantine(d); ok {
			c.EndedQuarantines = append(c.EndedQuarantines, d[:])
		}
	}
	if len(c.GetEndedQuarantines()) == 0 {
		return
	}
	if s.quarantineErr = s.applyChange(c); s.quarantineErr == nil {
		s.quarantine(s.suspects.QuarantinedParts(), 0)
	}
}

// confirmUnlisted quarantines the requests under which lost servers have ended, as the list of servers
// shows. The hosts that reported them may have restarted since.
func (s *State) confirmUnlisted() {
	digests := s.suspects.ConfirmUnlisted(s.now, func(server string) (string, bool) {
		x, ok := s.view.Server(server)
		return x.Incarnation, ok
	})
	s.quarantine(digests, s.now.Add(unlistedQuarantine).UnixMilli())
}

// quarantine quarantines requests until a time, and parts until their next trial. One part stands for all that have the same
// company.
func (s *State) quarantine(digests []masticview.Digest, until int64) {
	digests = s.suspects.Representatives(digests)
	c := &masticproto.ViewChange{}
	for _, d := range digests {
		if q, ok := s.suspects.PartQuarantine(d); !ok {
			q, _ := s.view.Quarantine(d)
			c.Quarantines = append(c.Quarantines, &masticproto.Quarantine{Digest: d[:], UntilUnixMs: max(until, q.Until.UnixMilli())})
		} else if q.Until.After(s.now) {
			c.Quarantines = append(c.Quarantines, q.ToProto())
		}
	}
	if len(c.GetQuarantines()) == 0 {
		return
	}
	c.EndedQuarantines = s.quarantinesToEvict(len(c.GetQuarantines()))
	if s.quarantineErr = s.applyChange(c); s.quarantineErr == nil {
		s.quarantined = digests
	}
}

// holdSuspect grants a hold, also to a request that is not a suspect and needs none. A quarantined
// request is refused, and so is one of which it is not yet known whether it is to be quarantined, since
// no other backend server will do.
func (s *State) holdSuspect(h *masticproto.SuspectHold) HoldResult {
	d, err := masticview.DigestFromBytes(h.GetDigest())
	if err != nil {
		return HoldResult{Err: err}
	}
	if q, ok := s.view.Quarantine(d); ok && s.now.Before(q.Until) {
		return HoldResult{Err: masticerror.New(masticerror.KindQuarantined, "the content is quarantined").WithRetryAfter(q.Until.Sub(s.now))}
	}
	until, _ := s.suspects.Refuses(s.now, h)
	switch s.suspects.AcquireHold(s.now, h) {
	case masticsuspect.HoldGranted:
		return HoldResult{Held: true}
	case masticsuspect.HoldUndecided:
		return HoldResult{Err: masticerror.New(masticerror.KindQuarantined, "backend servers were lost under requests with this content, or with a part of it").WithRetryAfter(undecidedRetryAfter)}
	case masticsuspect.HoldQuarantined:
		return HoldResult{Err: masticerror.New(masticerror.KindQuarantined, "a part of the prompt is quarantined").WithRetryAfter(until.Sub(s.now))}
	case masticsuspect.HoldPartBusy:
		return HoldResult{PartBusy: true}
	default:
		return HoldResult{}
	}
}

// undecidedRetryAfter is when a request is to come back of which it is not known yet whether the
// servers that are lost under it have ended. Lists of servers show an end within 1.2 s.
const undecidedRetryAfter = time.Second

const (
	// minQuarantine is the shortest duration of a quarantine.
	minQuarantine = time.Minute
	// unlistedQuarantine is the duration of a quarantine that follows from the list of servers.
	unlistedQuarantine = 10 * time.Minute
)

// quarantinesToEvict returns the digests of the quarantines to end, earliest end first, so
// that the given number of quarantines can be added within the limit.
func (s *State) quarantinesToEvict(added int) [][]byte {
	all := s.view.Quarantines()
	excess := len(all) + added - masticview.MaxQuarantines
	if excess <= 0 {
		return nil
	}
	slices.SortStableFunc(all, func(a, b masticview.Quarantine) int { return a.Until.Compare(b.Until) })
	var out [][]byte
	for _, q := range all[:min(excess, len(all))] {
		out = append(out, q.Digest[:])
	}
	return out
}
