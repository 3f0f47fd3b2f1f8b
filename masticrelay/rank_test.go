package masticrelay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticview"
)

// TestSaltsKeepIsolatedWorkspacesAndWeightsApart checks that engines and stores, which check neither,
// share no cached prompt between an isolated workspace and another, nor between weights versions.
func TestSaltsKeepIsolatedWorkspacesAndWeightsApart(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, w := range []masticdocument.Workspace{{Name: "a", Isolated: true}, {Name: "b", Isolated: true}, {Name: "shared"}, {}} {
		for _, version := range []string{"1", "2"} {
			seen[masticcall.CacheSalt(cacheScope(masticview.View{}, w), version)] = true
		}
	}
	c.Assert(seen, qt.HasLen, 6)
	x, y := masticdocument.Workspace{Name: "x"}, masticdocument.Workspace{Name: "y"}
	c.Assert(cacheScope(masticview.View{}, x), qt.Equals, cacheScope(masticview.View{}, y))
}
