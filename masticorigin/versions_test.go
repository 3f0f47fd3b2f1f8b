package masticorigin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// origin asks for a stream without a record, and for one that its caller does not name.
func (r *Records) origin(base string) (named, unnamed masticcall.StreamOrigin) {
	k := keyOf(99)
	named = r.Origin(&masticproto.AskedStream{Key: k[:], Service: "engines"}, base)
	return named, r.Origin(&masticproto.AskedStream{Service: "engines"}, base)
}

// versionsSteps are changes of the servers of a service. Each has what a stream without a record is afterwards.
type versionsStep struct {
	name    string
	passed  time.Duration
	timeout time.Duration
	base    string
	servers map[string]int
	// unknown and unnamedUnknown are the answers for a stream without a record, and for one that its caller does not name.
	unknown, unnamedUnknown bool
}

// TestStreamWithoutRecordIsBoundToAssumedVersion: a stream without a record went on at the base version, whatever that was when the
// stream began.
func TestStreamWithoutRecordIsBoundToAssumedVersion(t *testing.T) {
	both := map[string]int{"v1": 2, "v2": 1}
	for _, x := range []struct {
		name  string
		steps []versionsStep
	}{
		{"one version", []versionsStep{{name: "first", base: "v1", servers: map[string]int{"v1": 1}}}},
		{"a second version comes and goes", []versionsStep{
			{name: "first", base: "v1", servers: map[string]int{"v1": 1}},
			{name: "second", base: "v1", servers: both, unnamedUnknown: true},
			{name: "gone", base: "v1", servers: map[string]int{"v1": 2}, unnamedUnknown: true},
			{name: "streams may run", passed: 7 * time.Second, unnamedUnknown: true},
			{name: "streams have ended", passed: 2 * time.Second},
		}},
		{"the base changes", []versionsStep{
			{name: "first", base: "v1", servers: both, unnamedUnknown: true},
			{name: "without the base", base: "v1", servers: map[string]int{"v2": 1}, unknown: true, unnamedUnknown: true},
			{name: "replaced", passed: 20 * time.Second, base: "v2", servers: map[string]int{"v2": 1}, unknown: true, unnamedUnknown: true},
			{name: "streams may run", passed: 7 * time.Second, unknown: true, unnamedUnknown: true},
			{name: "streams have ended", passed: 2 * time.Second},
		}},
		{"the base was gone", []versionsStep{
			{name: "first", base: "v1", servers: both, unnamedUnknown: true},
			{name: "gone", base: "v1", servers: map[string]int{"v2": 1}, unknown: true, unnamedUnknown: true},
			{name: "back", base: "v1", servers: both, unknown: true, unnamedUnknown: true},
			{name: "streams may run", passed: 7 * time.Second, unknown: true, unnamedUnknown: true},
			{name: "streams have ended", passed: 2 * time.Second, unnamedUnknown: true},
		}},
		{"no version has a server for a time", []versionsStep{
			{name: "first", base: "v1", servers: map[string]int{"v1": 1}},
			{name: "none", base: "v1", servers: map[string]int{}},
			{name: "back", base: "v1", servers: map[string]int{"v1": 1}},
		}},
		{"the timeout is lowered", []versionsStep{
			{name: "first", base: "v1", servers: both, timeout: 25 * time.Second, unnamedUnknown: true},
			{name: "lowered", timeout: 2 * time.Second, unnamedUnknown: true},
			{name: "replaced", base: "v2", servers: map[string]int{"v2": 1}, unknown: true, unnamedUnknown: true},
			{name: "streams of before may run", passed: 24 * time.Second, unknown: true, unnamedUnknown: true},
			{name: "they have ended", passed: 3 * time.Second},
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			r, base := New(), ""
			r.ObserveTakeUpTime(8 * time.Second)
			for _, s := range x.steps {
				r.advanceBy(s.passed)
				if s.timeout > 0 {
					r.ObserveTakeUpTime(s.timeout)
				}
				if s.servers != nil {
					base = s.base
					r.ObserveServers("engines", base, s.servers)
				}
				named, unnamed := r.origin(base)
				c.Check(named, qt.Equals, masticcall.StreamOrigin{Software: base, Unknown: s.unknown}, qt.Commentf(s.name))
				c.Check(unnamed, qt.Equals, masticcall.StreamOrigin{Software: base, Unknown: s.unnamedUnknown}, qt.Commentf(s.name))
				next := Restore(r.Snapshot())
				c.Check(proto.Equal(next.Snapshot(), r.Snapshot()), qt.IsTrue)
				c.Check(next.versions, qt.CmpEquals(cmp.AllowUnexported(versions{}, serviceVersions{})), r.versions)
				r = next
			}
		})
	}
}

// TestTakeUpTimeLastsAsLongAsFormerStreams checks that a lower timeout counts only once streams of the former one have ended.
func TestTakeUpTimeLastsAsLongAsFormerStreams(t *testing.T) {
	c := qt.New(t)
	r := New()
	for _, x := range []struct{ passed, timeout, want time.Duration }{
		{0, 25 * time.Second, 25 * time.Second},
		{0, 8 * time.Second, 25 * time.Second},
		{20 * time.Second, 2 * time.Second, 25 * time.Second},
		{4 * time.Second, 2 * time.Second, 25 * time.Second},
		{2 * time.Second, 2 * time.Second, 25 * time.Second},
		{9 * time.Second, 2 * time.Second, 2 * time.Second},
		{0, 30 * time.Second, 30 * time.Second},
	} {
		r.advanceBy(x.passed)
		r.ObserveTakeUpTime(x.timeout)
		c.Assert(r.TakeUpTime(), qt.Equals, x.want)
	}
}
