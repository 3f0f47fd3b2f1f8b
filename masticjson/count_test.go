package masticjson

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCount(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string][2]int{
		``: {0, 0}, `{}`: {1, 0}, `[{},{}]`: {2, 1}, `{"{,":"\",{","b":[1,2]}`: {1, 2}, `{"a`: {1, 0},
	} {
		objects, values := Count([]byte(text))
		c.Check([2]int{objects, values}, qt.Equals, want, qt.Commentf("%s", text))
	}
}
