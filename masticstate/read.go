package masticstate

import (
	"maps"
	"time"

	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticsuspect"
	"masticladder/masticusage"
	"masticladder/masticview"
)

// View returns the current view.
func (s *State) View() masticview.View { return s.view }

// Now returns the state's time: the latest time of any applied command.
func (s *State) Now() time.Time { return s.now }

// Applied returns the index of the last applied command.
func (s *State) Applied() uint64 { return s.applied }

// Deltas returns the deltas from revision from to the current view. It returns false if
// they are no longer kept, in which case the caller needs a snapshot of the view.
func (s *State) Deltas(from uint64) ([]*masticproto.ViewDelta, bool) {
	missing := s.view.Revision() - from
	if from > s.view.Revision() || missing > uint64(len(s.deltas)) {
		return nil, false
	}
	return s.deltas[uint64(len(s.deltas))-missing:], true
}

// QuotaBounds returns the bounds on the tokens used by each workspace as of the last
// checkpoint, for a new owner of the quota.
func (s *State) QuotaBounds() map[string]int64 { return maps.Clone(s.quota.usedTokens) }

// OpenLoads returns the load orders that may still be running, for a new planner.
func (s *State) OpenLoads() []masticplace.Order { return s.loads.Open(s.now) }

// LastLoad returns the last load order to a backend server.
func (s *State) LastLoad(server string) (*masticproto.LoadOrder, bool) { return s.loads.Last(server) }

// Usage returns the usage totals. The caller must not modify them.
func (s *State) Usage() *masticusage.Totals { return s.usage }

// Suspects returns the tracker of suspect requests. The caller must not modify it.
func (s *State) Suspects() *masticsuspect.Tracker { return s.suspects }

// Quarantined returns the requests that the last command quarantined, or why it could not.
func (s *State) Quarantined() ([]masticview.Digest, error) { return s.quarantined, s.quarantineErr }

// Orders returns the number of order records.
func (s *State) Orders() int { return s.ledger.Orders() }
