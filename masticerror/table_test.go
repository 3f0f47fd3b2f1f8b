package masticerror

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files")

// markdown renders the table in the format of docs/CALLERS.md.
func markdown(answers []Answer) string {
	var b strings.Builder
	b.WriteString("| kind | status | notRun | Retry-After | meaning |\n|---|---|---|---|---|\n")
	for _, a := range answers {
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s |\n", a.Kind, a.Status, notRunText(a.Outcome), retryText(a), a.Meaning)
	}
	return b.String()
}

func notRunText(o Outcome) string {
	switch o {
	case OutcomeNotRun:
		return "true, unless a byte was sent"
	case OutcomeUnknown:
		return "false"
	default:
		return "true where proved"
	}
}

func retryText(a Answer) string {
	if a.RetryAfter == 0 {
		return "none"
	}
	return a.RetryAfter.String() + " or as said"
}

func TestTableGolden(t *testing.T) {
	c := qt.New(t)
	const file = "testdata/table.md"
	got := markdown(Table())
	if *update {
		c.Assert(os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
	page, err := os.ReadFile("../docs/CALLERS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasSuffix(string(page), got), qt.IsTrue)
}

func TestNotRun(t *testing.T) {
	c := qt.New(t)
	c.Assert(New(KindOverloaded, "busy").NotRun(), qt.IsTrue)
	c.Assert(New(KindOverloaded, "busy").WithSent().NotRun(), qt.IsFalse)
	c.Assert(New(KindBackendFailed, "reset").NotRun(), qt.IsFalse)
	c.Assert(From(os.ErrClosed).NotRun(), qt.IsFalse)
	c.Assert(Wrap(os.ErrClosed, KindInternal, "open the folder").Error(), qt.Equals, "internal: open the folder: file already closed")
	c.Assert(From(os.ErrClosed).Error(), qt.Equals, "internal: file already closed")
	c.Assert(From(fmt.Errorf("outer: %w", New(KindNoLease, "ended"))).Kind(), qt.Equals, KindNoLease)
}
