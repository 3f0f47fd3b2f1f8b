package masticengine

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"masticladder/masticcall"
	"masticladder/mastichttp"
	"masticladder/masticview"
)

const (
	// HeaderMaxRequestRate is the field of an answer that states how many requests a second the server
	// takes from all hosts together, as a decimal number, for as long as its answers have the field.
	HeaderMaxRequestRate = "X-Max-Request-Rate"
	// HeaderServerLeaving is the field of an answer whose value 1 states that the server is leaving.
	HeaderServerLeaving = "X-Server-Leaving"
	leavingValue        = "1"
)

// WithStatementObserver sets the receiver of what servers state about themselves.
func WithStatementObserver(o masticcall.StatementObserver) Option {
	return func(c *Client) { c.statements = o }
}

// observeStatement passes on what the answer states about its server, and returns it.
func (x *exchange) observeStatement(sentAt time.Time) masticcall.Statement {
	return x.client.observeStatement(x.call.Server, x.call.RequestID, sentAt, x.answer.StatusCode, x.answer.Header)
}

// observeInformational is the hook for informational answers.
func (x *exchange) observeInformational(status int, h textproto.MIMEHeader) error {
	x.client.observeStatement(x.call.Server, x.call.RequestID, time.Now(), status, http.Header(h))
	return nil
}

// observeStatement passes on what an answer to a request that was sent at the given time states about its
// server, and returns it. request is empty for checks.
func (c *Client) observeStatement(server masticview.Server, request string, sentAt time.Time, status int, h http.Header) masticcall.Statement {
	s, err := ParseStatement(status, h, time.Now())
	if err != nil {
		c.log.WithError(err).WithField("server", server.Name).WithField("request", request).Warn("statement of a backend server ignored")
	}
	if c.statements != nil {
		c.statements.ObserveStatement(server, request, sentAt, s)
	}
	return s
}

// ParseStatement returns what an answer, received at now, states about its server. The error is that of a
// part that cannot be parsed, which then states nothing.
func ParseStatement(status int, h http.Header, now time.Time) (masticcall.Statement, error) {
	rate, rateErr := statedRate(status, h)
	pausedUntil, err := mastichttp.PausedUntil(status, h, now)
	return masticcall.Statement{
		Rate: rate, Leaving: h.Get(HeaderServerLeaving) == leavingValue, PausedUntil: pausedUntil,
	}, errors.Join(rateErr, err)
}

// statedRate returns the rate that an answer states. A success without one shows that the server states
// none; other answers may omit it.
func statedRate(status int, h http.Header) (masticcall.StatedRate, error) {
	text := h.Get(HeaderMaxRequestRate)
	if text == "" {
		if status >= http.StatusOK && status < http.StatusMultipleChoices {
			return masticcall.StatedRate{Kind: masticcall.RateUnlimited}, nil
		}
		return masticcall.StatedRate{}, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return masticcall.StatedRate{}, fmt.Errorf("%s is %.40q: not a number of requests per second", HeaderMaxRequestRate, text)
	}
	return masticcall.StatedRate{Kind: masticcall.RateLimited, RequestsPerSecond: rate}, nil
}
