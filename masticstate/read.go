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

// Now returns the state's time: the latest of any command.
func (s *State) Now() time.Time { return s.now }

// Applied returns the index of the last applied command.
func (s *State) Applied() uint64 { return s.applied }

// Deltas returns what makes the current view out of revision from. It reports false when
// that is not kept any more, so that a snapshot of the view is needed.
func (s *State) Deltas(from uint64) ([]*masticproto.ViewDelta, bool) {
	missing := s.view.Revision() - from
	if from > s.view.Revision() || missing > uint64(len(s.deltas)) {
		return nil, false
	}
	return s.deltas[uint64(len(s.deltas))-missing:], true
}

// QuotaBounds returns the bounds of the last checkpoint by workspace, for a new owner.
func (s *State) QuotaBounds() map[string]int64 { return maps.Clone(s.quota.used) }

// OpenLoads returns the load orders that may still run, for a new planner.
func (s *State) OpenLoads() []masticplace.Order { return s.loads.Open(s.now) }

// LastLoad returns the last load order to a backend server.
func (s *State) LastLoad(server string) (*masticproto.LoadOrder, bool) { return s.loads.Last(server) }

// Usage returns the usage totals; the caller only reads them.
func (s *State) Usage() *masticusage.Totals { return s.usage }

// Suspects returns the suspects; the caller only reads them.
func (s *State) Suspects() *masticsuspect.Tracker { return s.suspects }

// Orders returns the number of order records.
func (s *State) Orders() int { return s.ledger.Orders() }
