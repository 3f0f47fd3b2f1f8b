package masticengine

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"masticladder/masticcall"
)

// HeaderMaxRequestRate is the field of an answer that states how many requests a second the server
// takes from all hosts together, as a decimal number, for as long as its answers have the field.
const HeaderMaxRequestRate = "X-Max-Request-Rate"

// WithRateObserver sets the receiver of the request rates that servers state.
func WithRateObserver(o masticcall.RateObserver) Option { return func(c *Client) { c.rates = o } }

// observeRate passes on what the answer states of the request rate of its server.
func (x *exchange) observeRate(sentAt time.Time) {
	if x.client.rates == nil {
		return
	}
	r, ok := statedRate(x.answer)
	if !ok {
		x.client.log.WithField("server", x.call.Server.Name).WithField("request", x.call.RequestID).
			Warn("stated request rate ignored: not a number of requests per second")
	}
	x.client.rates.ObserveRate(x.call.Server, x.call.RequestID, sentAt, r)
}

// statedRate returns what an answer states. It reports false if the statement can't be parsed.
func statedRate(a *http.Response) (masticcall.StatedRate, bool) {
	text := a.Header.Get(HeaderMaxRequestRate)
	if text == "" {
		if a.StatusCode >= http.StatusOK && a.StatusCode < http.StatusMultipleChoices {
			return masticcall.StatedRate{Kind: masticcall.RateUnlimited}, true
		}
		return masticcall.StatedRate{}, true
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return masticcall.StatedRate{}, false
	}
	return masticcall.StatedRate{Kind: masticcall.RateLimited, RequestsPerSecond: rate}, true
}
