package masticcall

import (
	"context"
	"errors"
	"time"
)

// Charge asks the keeper of a workspace's quota for tokens.
type Charge struct {
	Workspace string
	Tokens    int64
	// Wait is how long the request can wait for the tokens.
	Wait time.Duration
	// SubstituteOf is set if the processes of all keepers of the workspace have ended. The host then takes the place
	// of one, with one of so many equal parts of the quota.
	SubstituteOf int
	// Extra is a number of tokens that the host wants besides, for its next requests.
	Extra int64
}

// ChargeAnswer answers a Charge.
type ChargeAnswer struct {
	// Kept reports that the host keeps a part of the workspace's quota.
	Kept bool
	// Admitted reports that the tokens were taken. The request may run after Delay. Otherwise they will be
	// there after Delay if no other request takes them.
	Admitted bool
	Delay    time.Duration
	// Extra is the number of tokens that were taken besides, all that were asked for or none.
	Extra int64
}

// ErrUnanswered is wrapped in the error of a request that was refused because too few keepers answered. It may be
// within the rate of its workspace.
var ErrUnanswered = errors.New("too few keepers answered")

// Keepers reaches the keepers of quotas on other hosts.
type Keepers interface {
	// Charge charges tokens at the host with the given peer address. After an error they may have been taken. An
	// error of kind overloaded means that the keeper is late.
	Charge(ctx context.Context, peer string, c Charge) (ChargeAnswer, error)
	// Refund returns tokens that were charged there and not used. It may be lost.
	Refund(peer, workspace string, tokens int64)
}

// DividedLimiter is a Limiter that applies only while quotas are divided among keepers.
type DividedLimiter interface {
	Limiter
	// Divided reports whether keepers hold the quotas.
	Divided() bool
}
