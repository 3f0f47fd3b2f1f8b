package masticorigin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

func keyOf(n int) masticcall.StreamKey {
	return masticcall.StreamKeyOf("mill", "engines", fmt.Sprint("request ", n))
}

func encode(all ...masticcall.StreamKey) []byte {
	var out []byte
	for _, k := range all {
		out = append(out, k[:]...)
	}
	return out
}

// testLifetime is the lifetime of all records of a batch, in milliseconds.
const testLifetime = 8000

func begun(host string, sequence uint64, software string, all ...masticcall.StreamKey) *masticproto.StreamOrigins {
	var lifetimes []uint32
	for range all {
		lifetimes = append(lifetimes, testLifetime)
	}
	return &masticproto.StreamOrigins{
		Host: host, Incarnation: "i", Sequence: sequence, Oldest: sequence,
		Begun: []*masticproto.BegunStreams{{Software: software, Keys: encode(all...), LifetimesMs: lifetimes}},
	}
}

func ended(host string, sequence uint64, all ...masticcall.StreamKey) *masticproto.StreamOrigins {
	return &masticproto.StreamOrigins{Host: host, Incarnation: "i", Sequence: sequence, Ended: encode(all...)}
}

func (r *Records) advanceBy(d time.Duration) {
	r.Apply(&masticproto.StreamOrigins{Host: "clock", ElapsedUs: d.Microseconds()})
}

// TestRecordOfRunningTakeUpTimeIsDropped: records were dropped while callers could still take their streams up.
func TestRecordOfRunningTakeUpTimeIsDropped(t *testing.T) {
	c := qt.New(t)
	r := New()
	c.Assert(r.Apply(begun("h", 1, "v2", keyOf(1), keyOf(2))), qt.HasLen, 0)
	software, ok := r.Find(keyOf(1))
	c.Assert(ok, qt.IsTrue)
	c.Assert(software, qt.Equals, "v2")
	r.Apply(ended("h", 2, keyOf(1)))
	_, ok = r.Find(keyOf(1))
	c.Assert(ok, qt.IsFalse)
	r.Tick(testLifetime / 2 * 1000)
	r.Tick(0)
	r.Tick(0)
	_, ok = r.Find(keyOf(2))
	c.Assert(ok, qt.IsTrue)
	r.Apply(begun("g", 3, "v2", keyOf(2)))
	r.advanceBy(testLifetime * time.Millisecond)
	_, ok = r.Find(keyOf(2))
	c.Assert(ok, qt.IsTrue, qt.Commentf("an extended record"))
	r.advanceBy(2 * time.Second)
	c.Assert(r.Len(), qt.Equals, 0)
	c.Assert(r.expiring, qt.HasLen, 0)
}

// TestRecordLastsForItsLifetime checks that no record is dropped before its lifetime has passed on the clock, nor more than 1 s after
// it, whatever snapshots are restored meanwhile.
func TestRecordLastsForItsLifetime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		r := New()
		r.advanceBy(time.Duration(random.IntN(5_000_000)) * time.Microsecond)
		b := begun("h", 1, "v2", keyOf(1))
		lifetime := random.IntN(5000)
		b.Begun[0].LifetimesMs[0] = uint32(lifetime)
		r.Apply(b)
		for passed := time.Duration(0); passed < time.Duration(lifetime)*time.Millisecond; {
			_, ok := r.Find(keyOf(1))
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("after %s of %d ms", passed, lifetime))
			step := time.Duration(random.IntN(900_000)) * time.Microsecond
			r.advanceBy(step)
			passed += step
			if random.IntN(3) == 0 {
				next := Restore(r.Snapshot())
				qt.Assert(t, next.records, qt.CmpEquals(cmp.AllowUnexported(record{})), r.records)
				r = next
			}
		}
		r.advanceBy(time.Second + time.Millisecond)
		qt.Assert(t, r.Len(), qt.Equals, 0)
	}
}

// TestFullRecordsRefuseNewStreams checks that made-up streams push no other record out.
func TestFullRecordsRefuseNewStreams(t *testing.T) {
	c := qt.New(t)
	r := New(WithMaxRecords(2))
	c.Assert(r.Apply(begun("h", 1, "v2", keyOf(1), keyOf(2))), qt.HasLen, 0)
	c.Assert(r.Apply(begun("h", 2, "v2", keyOf(3), keyOf(1))), qt.DeepEquals, []masticcall.StreamKey{keyOf(3)})
	c.Assert(r.Len(), qt.Equals, 2)
	_, ok := r.Find(keyOf(2))
	c.Assert(ok, qt.IsTrue)
}

// TestOvertakenBatchChangesNothing: a batch that its host has given up arrives after a newer one.
func TestOvertakenBatchChangesNothing(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Apply(begun("h", 2, "v1", keyOf(1)))
	c.Assert(r.Apply(begun("h", 1, "v2", keyOf(1))), qt.DeepEquals, []masticcall.StreamKey{keyOf(1)})
	r.Apply(ended("h", 1, keyOf(1)))
	software, _ := r.Find(keyOf(1))
	c.Assert(software, qt.Equals, "v1")
	c.Assert(r.Apply(begun("h", 2, "v1", keyOf(1))), qt.HasLen, 0, qt.Commentf("the answer to a batch that is sent again is the same"))
	c.Assert(r.Apply(begun("other", 1, "v2", keyOf(2))), qt.HasLen, 0)
}

// TestBatchesThatAreUnderWayTogetherCount checks that a batch is applied after a newer one while its host waits
// for both.
func TestBatchesThatAreUnderWayTogetherCount(t *testing.T) {
	c := qt.New(t)
	r := New()
	newer := begun("h", 3, "v2", keyOf(3))
	newer.Oldest = 1
	c.Assert(r.Apply(newer), qt.HasLen, 0)
	older := begun("h", 2, "v2", keyOf(2))
	older.Oldest = 1
	c.Assert(r.Apply(older), qt.HasLen, 0)
	c.Assert(r.Len(), qt.Equals, 2)
}

func TestSnapshotKeepsRecords(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Apply(begun("h", 5, "v2", keyOf(1), keyOf(2)))
	r.Tick(1500)
	r.Apply(begun("g", 6, "v3", keyOf(3)))
	next := Restore(r.Snapshot())
	c.Assert(proto.Equal(next.Snapshot(), r.Snapshot()), qt.IsTrue)
	c.Assert(next.Len(), qt.Equals, 3)
	c.Assert(next.Apply(begun("h", 4, "v9", keyOf(4))), qt.HasLen, 1)
	c.Assert(Restore(nil).Len(), qt.Equals, 0)
}

func TestMalformedKeysAreLeftOut(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Apply(&masticproto.StreamOrigins{Host: "h", Sequence: 1, Begun: []*masticproto.BegunStreams{{Software: "v", Keys: []byte("short")}}, Ended: []byte{1}})
	c.Assert(r.Len(), qt.Equals, 0)
}

// TestEndOfFormerHostKeepsRecord: a caller took a stream up at another host before the first one reported its end.
func TestEndOfFormerHostKeepsRecord(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Apply(begun("a", 1, "v2", keyOf(1)))
	r.Apply(begun("b", 1, "v2", keyOf(1)))
	r.Apply(ended("a", 2, keyOf(1)))
	_, ok := r.Find(keyOf(1))
	c.Assert(ok, qt.IsTrue)
	r.Apply(ended("b", 2, keyOf(1)))
	c.Assert(r.Len(), qt.Equals, 0)
}
