package masticagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticquota"
)

// TestEveryReportFieldIsSent guards against a report field that does not reach the owner, for
// instance tokens that were settled after their grant ended.
func TestEveryReportFieldIsSent(t *testing.T) {
	c := qt.New(t)
	sent := quotaReports([]masticquota.GrantReport{{GrantID: 1, Term: 2, ReturnedTokens: 3, SettledTokens: 4}})
	c.Assert(sent, qt.HasLen, 1)
	r := sent[0]
	c.Assert([]int64{int64(r.GetGrant()), int64(r.GetTerm()), r.GetReturnedTokens(), r.GetSettledTokens()}, qt.DeepEquals, []int64{1, 2, 3, 4})
}
