package masticview

// Workspace is one customer's share of the backend servers.
type Workspace struct {
	Name  string `json:"name" validate:"required"`
	Owner string `json:"owner" validate:"required"`
	// RateTokensPerSecond and BurstTokens limit the sum of prompt and reserved output tokens over
	// all hosts together.
	RateTokensPerSecond int64 `json:"rateTokensPerSecond" validate:"gt=0"`
	BurstTokens         int64 `json:"burstTokens" validate:"gt=0"`
	// Weight is the workspace's relative share of a contended backend server.
	Weight int64 `json:"weight" validate:"gte=0"`
}
