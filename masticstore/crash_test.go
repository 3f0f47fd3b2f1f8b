package masticstore

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticproto"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// state is the expected content of a folder.
type state struct {
	term     uint64
	snapshot *masticproto.Snapshot
	entries  []*masticproto.Entry
}

// saveCall is the arguments of one call of Save.
type saveCall struct {
	hardState *masticproto.HardState
	entries   []*masticproto.Entry
	snapshot  *masticproto.Snapshot
}

func (s state) withSnapshot(n *masticproto.Snapshot) state {
	if n == nil {
		return s
	}
	covered := slices.IndexFunc(s.entries, func(e *masticproto.Entry) bool {
		return e.GetIndex() == n.GetIndex() && e.GetTerm() == n.GetTerm()
	})
	if covered < 0 {
		s.entries = nil
	} else {
		s.entries = s.entries[covered+1:]
	}
	s.snapshot = n
	return s
}

func (s state) withSave(v saveCall) state {
	s = s.withSnapshot(v.snapshot)
	if v.hardState != nil {
		s.term = v.hardState.GetTerm()
	}
	if len(v.entries) > 0 {
		base := s.snapshot.GetIndex()
		s.entries = append(slices.Clone(s.entries[:v.entries[0].GetIndex()-base-1]), v.entries...)
	}
	return s
}

func (s state) String() string {
	t := fmt.Sprintf("term %d snapshot %d/%d:", s.term, s.snapshot.GetIndex(), s.snapshot.GetTerm())
	for _, e := range s.entries {
		t += fmt.Sprintf(" %d/%d", e.GetIndex(), e.GetTerm())
	}
	return t
}

// loadedState returns the loaded state without the entries that the snapshot covers.
func loadedState(l Loaded) state {
	s := state{term: l.HardState.GetTerm(), snapshot: l.Snapshot}
	for _, e := range l.Entries {
		if e.GetIndex() > l.Snapshot.GetIndex() {
			s.entries = append(s.entries, e)
		}
	}
	return s
}

// nextSave returns a random call of Save that a consensus core could make in state s.
func nextSave(random *rand.Rand, s state) saveCall {
	var v saveCall
	if random.IntN(3) == 0 {
		v.hardState = &masticproto.HardState{Term: s.term + 1}
	}
	last := s.snapshot.GetIndex() + uint64(len(s.entries))
	switch random.IntN(6) {
	case 0:
		if len(s.entries) > 0 {
			e := s.entries[random.IntN(len(s.entries))]
			v.snapshot = &masticproto.Snapshot{Index: e.GetIndex(), Term: e.GetTerm() + uint64(random.IntN(2))}
			return v
		}
	case 1:
		last += uint64(random.IntN(3)) + 1
		v.snapshot = &masticproto.Snapshot{Index: last, Term: s.term + 100}
	case 2:
		last = s.snapshot.GetIndex() + uint64(random.IntN(len(s.entries)+1))
	}
	for range random.IntN(4) {
		last++
		v.entries = append(v.entries, newEntry(last, s.term))
	}
	return v
}

// openFake opens a fake folder with a small segment size.
func openFake(files *fakeFiles) (*Store, Loaded, error) {
	return Open("", WithFileSystem(files), WithSegmentBytes(150), WithNewStorage(func() string { return "s" }))
}

// crashHistory saves, crashes at a random operation, reopens and repeats. After each crash the
// folder contains the data of all completed calls of Save, and of an interrupted call everything,
// nothing or only the snapshot.
func crashHistory(t *rapid.T) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	files := newFakeFiles()
	allowed := []state{{}}
	for range 6 {
		files.crashAt = 1 + random.IntN(40)
		next, err := saveUntilCrash(random, files, allowed)
		if err != nil {
			t.Fatal(err)
		}
		allowed = next
		files = files.reboot(random)
	}
}

// saveUntilCrash opens the folder, expects one of the allowed states, and saves until the crash. It
// returns the states that are allowed after the crash.
func saveUntilCrash(random *rand.Rand, files *fakeFiles, allowed []state) ([]state, error) {
	s, loaded, err := openFake(files)
	if errors.Is(err, errCrash) {
		return allowed, nil
	}
	if err != nil {
		return nil, err
	}
	current := loadedState(loaded)
	if !slices.ContainsFunc(allowed, func(a state) bool { return a.String() == current.String() }) {
		return nil, fmt.Errorf("loaded %v, allowed %v", current, allowed)
	}
	for {
		v := nextSave(random, current)
		if err := s.Save(v.hardState, v.entries, v.snapshot); err != nil {
			if s.Save(nil, nil, nil) == nil {
				return nil, errors.New("Save succeeds on a failed store")
			}
			return []state{current, current.withSnapshot(v.snapshot), current.withSave(v)}, nil
		}
		current = current.withSave(v)
	}
}

func TestSavedStateSurvivesCrashAtAnyOperation(t *testing.T) { rapid.Check(t, crashHistory) }

func TestSaveSyncsOnce(t *testing.T) {
	c := qt.New(t)
	files := newFakeFiles()
	s, _, err := Open("", WithFileSystem(files))
	c.Assert(err, qt.IsNil)
	before := files.syncs
	c.Assert(s.Save(&masticproto.HardState{Term: 1}, []*masticproto.Entry{newEntry(1, 1), newEntry(2, 1)}, nil), qt.IsNil)
	c.Assert(files.syncs, qt.Equals, before+1)
}
