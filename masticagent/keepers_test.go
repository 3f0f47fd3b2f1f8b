package masticagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// stubKeepers refuses all requests with an error.
type stubKeepers struct{ err error }

func (s stubKeepers) Admit(context.Context, string, int64, time.Time) (masticcall.Admission, error) {
	return nil, s.err
}

func (s stubKeepers) Divided() bool { return true }

// TestStandingShareAdmitsWhileKeepersGiveNoAnswer: a request was refused because keepers gave no answer, while the host had tokens
// of its own. Of requests that a keeper refused only small ones get some of them.
func TestStandingShareAdmitsWhileKeepersGiveNoAnswer(t *testing.T) {
	c := qt.New(t)
	share := func(string) Share { return Share{RateTokensPerSecond: 0.001, BurstTokens: 10_000} }
	for _, x := range []struct {
		err      error
		tokens   int64
		admitted int
	}{
		{masticerror.Wrap(masticcall.ErrUnanswered, masticerror.KindRateLimited, "too few keepers"), 2000, 2},
		{masticerror.New(masticerror.KindRateLimited, "over its rate"), 2000, 0},
		{masticerror.New(masticerror.KindRateLimited, "over its rate"), smallRequestTokens, 4},
	} {
		a, err := New(WithHost("h"), WithControlPeers(closedAddress), WithStandingShare(share), WithKeepers(stubKeepers{x.err}))
		c.Assert(err, qt.IsNil)
		admitted := 0
		for range 5 {
			if _, err := a.Limiter().Admit(t.Context(), "w", x.tokens, time.Time{}); err == nil {
				admitted++
			} else {
				c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindRateLimited)
			}
		}
		c.Assert(admitted, qt.Equals, x.admitted)
	}
}
