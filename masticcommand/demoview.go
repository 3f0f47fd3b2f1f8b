package masticcommand

import (
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Names, secrets and limits in the demo's configuration.
const (
	demoModel                   = "saw"
	demoSecretAssociation       = "demo-key-association"
	demoSecretGlenmorven        = "demo-key-glenmorven"
	ownerAssociation            = "association"
	ownerGlenmorven             = "glenmorven"
	profileReview               = "association-review"
	profileCounter              = "glenmorven-counter"
	demoRateTokensPerSecond     = 200_000
	demoBurstTokens             = 2_000_000
	demoReviewFirstTokenMillis  = 5_000
	demoCounterFirstTokenMillis = 1_200
)

// demoServer is one stand-in backend server of the demo.
type demoServer struct {
	name, owner, url string
	service          bool
}

// demoChange returns the configuration that the demo publishes.
func demoChange(servers []demoServer) *masticproto.ViewChange {
	c := &masticproto.ViewChange{
		Workspaces: []*masticproto.Workspace{
			{Name: ownerAssociation, Owner: ownerAssociation, RateTokensPerSecond: demoRateTokensPerSecond, BurstTokens: demoBurstTokens, Weight: 1},
			{Name: ownerGlenmorven, Owner: ownerGlenmorven, RateTokensPerSecond: demoRateTokensPerSecond, BurstTokens: demoBurstTokens, Weight: 1},
		},
		Profiles: []*masticproto.Profile{
			demoProfile(profileReview, ownerAssociation, masticview.ClassLong, demoReviewFirstTokenMillis),
			demoProfile(profileCounter, ownerGlenmorven, masticview.ClassQuick, demoCounterFirstTokenMillis),
		},
		Keys: []*masticproto.Key{
			demoKey("demo-association", demoSecretAssociation, ownerAssociation, profileReview),
			demoKey("demo-glenmorven", demoSecretGlenmorven, ownerGlenmorven, profileCounter),
		},
		Services: []*masticproto.Service{
			{Name: "orders", Servers: []string{"orders-1"}},
			{Name: "stock", Servers: []string{"stock-1"}, Repeatable: true},
			{Name: "status", Servers: []string{"status-1"}, Repeatable: true, Open: true},
		},
	}
	for _, s := range servers {
		c.Servers = append(c.Servers, s.toProto())
	}
	return c
}

func demoProfile(name, workspace string, class masticview.Class, firstTokenMillis int64) *masticproto.Profile {
	return &masticproto.Profile{
		Name:             name,
		Workspace:        workspace,
		Models:           []string{demoModel},
		Services:         []string{"orders", "stock", "status"},
		Class:            string(class),
		FirstTokenMillis: firstTokenMillis,
		MaxOutputTokens:  4096,
	}
}

func demoKey(id, secret, workspace, profile string) *masticproto.Key {
	d := masticview.DigestOf([]byte(secret))
	return &masticproto.Key{Id: id, Digest: d[:], Workspace: workspace, Profile: profile, State: string(masticview.KeyActive)}
}

func (s demoServer) toProto() *masticproto.Server {
	b := &masticproto.Server{
		Name:  s.name,
		Kind:  string(masticview.ServerService),
		Url:   s.url,
		Owner: s.owner,
		Zone:  "demo",
		State: string(masticview.ServerActive),
	}
	if !s.service {
		b.Kind = string(masticview.ServerEngine)
		b.Models = []string{demoModel}
		b.WeightsVersion = "1"
		b.ChecksFencing = true
	}
	return b
}
