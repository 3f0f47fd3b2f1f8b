package masticview

// Workspace is one customer's share of the fleet.
type Workspace struct {
	Name  string `json:"name" validate:"required"`
	Owner string `json:"owner" validate:"required"`
	// RateTokensPerSecond and BurstTokens bound prompt plus reserved output over all hosts together.
	RateTokensPerSecond int64 `json:"rateTokensPerSecond" validate:"gt=0"`
	BurstTokens         int64 `json:"burstTokens" validate:"gt=0"`
	// Weight is the workspace's share of a contended backend server.
	Weight int64 `json:"weight" validate:"gte=0"`
}
