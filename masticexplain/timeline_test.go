package masticexplain

import (
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// For each of the three kinds of failed request in docs/OPERATIONS.md, the timeline of recorded
// logs finds the deciding line that the page shows.
func TestTimelineNamesTheDecidingLine(t *testing.T) {
	for _, x := range []struct {
		name, request, deciding string
	}{
		{"refused", "c23cccc88e4c6175", "request refused or failed"},
		{"broken", "07ba90aee11dbf52", "attempt failed"},
		{"unknown", "86b187d92917fe1c", "attempt failed"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			log, err := os.Open("testdata/" + x.name + ".log")
			c.Assert(err, qt.IsNil)
			defer log.Close()
			r := NewReader(x.request)
			c.Assert(r.Read("run", log), qt.IsNil)
			timeline, err := r.Timeline()
			c.Assert(err, qt.IsNil)
			c.Assert(timeline.Lines[timeline.DecidingIndex].Text, qt.Equals, x.deciding)
			page, err := os.ReadFile("../docs/OPERATIONS.md")
			c.Assert(err, qt.IsNil)
			c.Assert(string(page), qt.Contains, "> "+timeline.Lines[timeline.DecidingIndex].String())
			var b strings.Builder
			for _, l := range append(timeline.StatesBefore, timeline.Lines...) {
				b.WriteString(l.String() + "\n")
			}
			golden := "testdata/" + x.name + ".txt"
			if *update {
				c.Assert(os.WriteFile(golden, []byte(b.String()), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			c.Assert(err, qt.IsNil)
			c.Assert(b.String(), qt.Equals, string(want))
		})
	}
}

// Lines are sorted by time regardless of the order of the files. State that a process logs after
// the request arrived is not part of the timeline. Text that is not a log line is ignored.
func TestTimelineOrdersLinesOfManyProcessesByTime(t *testing.T) {
	c := qt.New(t)
	r := NewReader("a1")
	c.Assert(r.Read("second", strings.NewReader(`not a line
{"time":"2026-01-01T00:00:02Z","msg":"request answered","request":"a1","sends":2}
{"time":"2026-01-01T00:00:03Z","msg":"document in force","number":2}
`)), qt.IsNil)
	c.Assert(r.Read("first", strings.NewReader(`{"time":"2026-01-01T00:00:00Z","msg":"document in force","number":1}
{"time":"2026-01-01T00:00:01Z","msg":"request routed","request":"a1","server":"e1"}
{"time":"2026-01-01T00:00:01Z","msg":"attempt failed","request":"a1","server":"e1"}
{"time":"2026-01-01T00:00:01Z","msg":"request routed","request":"a1","server":"e2"}
{"time":"2026-01-01T00:00:01Z","msg":"request routed","request":"b2","server":"e3"}
{"time":"yesterday","msg":"request routed","request":"a1","server":"e4"}
`)), qt.IsNil)
	timeline, err := r.Timeline()
	c.Assert(err, qt.IsNil)
	var texts []string
	for _, l := range timeline.Lines {
		texts = append(texts, l.Source+" "+l.Text)
	}
	c.Assert(texts, qt.DeepEquals, []string{"first request routed", "first attempt failed", "first request routed", "second request answered"})
	c.Assert(timeline.DecidingIndex, qt.Equals, 2)
	c.Assert(timeline.StatesBefore, qt.HasLen, 1)
	c.Assert(timeline.StatesBefore[0].Fields["number"], qt.Equals, 1.0)

	_, err = NewReader("none").Timeline()
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindNotFound)
}

// TestCutRequestIsExplainedByItsCaller: the outcome of a request that its host's end cut reads as if the caller had gone.
func TestCutRequestIsExplainedByItsCaller(t *testing.T) {
	c := qt.New(t)
	r := NewReader("a1")
	c.Assert(r.Read("host", strings.NewReader(`{"time":"2026-01-01T00:00:01Z","msg":"request cut by the end of this host","request":"a1","waitsFor":"server"}
{"time":"2026-01-01T00:00:01Z","msg":"request refused or failed","request":"a1","reason":"cancelled","sends":0}
`)), qt.IsNil)
	timeline, err := r.Timeline()
	c.Assert(err, qt.IsNil)
	c.Assert(timeline.DecidingIndex, qt.Equals, 0)
}
