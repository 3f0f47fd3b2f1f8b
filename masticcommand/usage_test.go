package masticcommand

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
)

func TestUsageReportTellsWhetherChargedAndServedAgree(t *testing.T) {
	c := qt.New(t)
	report := masticcall.UsageReport{
		Charged: []masticcall.UsageTotal{
			{Workspace: "members", Model: "saw", ServerOwner: "glenmorven", Requests: 2, InputTokens: 10, OutputTokens: 4},
			{Workspace: "fitters", Model: "saw", ServerOwner: "glenmorven", Requests: 1, InputTokens: 5, OutputTokens: 1},
			{Workspace: "fitters", Refusals: map[string]int64{"rateLimited": 3}},
		},
		Served: []masticcall.ServedTotal{{ServerOwner: "glenmorven", Model: "saw", Requests: 3, InputTokens: 15, OutputTokens: 5}},
	}
	owners := map[string]string{"members": "association", "fitters": "glenmorven"}
	r := summarise(report, "owner", owners)
	c.Assert(r.Agreed, qt.IsTrue)
	c.Assert(r.Rows, qt.DeepEquals, []usageRow{
		{Side: "charged", Name: "association", Requests: 2, InputTokens: 10, OutputTokens: 4},
		{Side: "charged", Name: "glenmorven", Requests: 1, InputTokens: 5, OutputTokens: 1, Refused: 3},
		{Side: "served", Name: "glenmorven", Requests: 3, InputTokens: 15, OutputTokens: 5},
	})
	report.Served[0].OutputTokens = 6
	c.Assert(summarise(report, "owner", owners).Agreed, qt.IsFalse)
}
