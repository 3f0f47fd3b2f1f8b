package masticlimit

import "time"

// server is this host's state of a backend server that states a limit or has stated one.
type server struct {
	statement Statement
	// learnedAt is when this host last learned that the statement holds.
	learnedAt time.Time
	// unsent is the number of reports that still have to carry the statement.
	unsent int
	// ranking is the live hosts in the order in which they become the allocator, nil if it has to be
	// computed.
	ranking []string
	// allocator is the host that allocates the server's rate, as far as this host knows.
	allocator string
	// allocation is nil unless this host is the allocator.
	allocation *allocation
	// tokens are the tokens of this host, the oldest first.
	tokens []tokenBatch
	// returned counts expired tokens that the allocator has not been told of.
	returned int64
	demand   demand
}

// tokenBatch is a number of tokens that this host may spend until a deadline.
type tokenBatch struct {
	count    int64
	deadline time.Time
}

// observe applies what an answer stated, and reports whether that changed the statement. Answers may
// overtake each other: if the request was sent before the present statement was learned, the answer
// may be older, and only a lower limit is taken from it.
func (s *server) observe(now time.Time, o Observation) bool {
	next := s.statement.WithRate(o)
	if next.Limited == s.statement.Limited && next.RequestsPerSecond == s.statement.RequestsPerSecond {
		s.learnedAt = now
		return false
	}
	if o.SentAt.Before(s.learnedAt) && !next.isLower(s.statement) {
		return false
	}
	s.replace(now, next)
	return true
}

// replace replaces the statement. Tokens of the former limit are dropped.
func (s *server) replace(now time.Time, next Statement) {
	s.statement, s.learnedAt, s.unsent = next, now, statementSends
	s.tokens, s.returned = nil, 0
	s.allocator, s.allocation = "", nil
}

// follow makes host the allocator. Tokens of the former allocator are dropped, because the new one
// does not count them.
func (s *server) follow(now time.Time, host string, own bool) {
	if s.allocator == host && own == (s.allocation != nil) {
		return
	}
	s.allocator, s.allocation = host, nil
	s.tokens, s.returned = nil, 0
	if own {
		s.allocation = newAllocation(now)
	}
}

func (s *server) addTokens(now time.Time, count int64) {
	if count = min(count, maxTokens); count > 0 {
		s.tokens = append(s.tokens, tokenBatch{count, now.Add(tokenLifetime)})
	}
}

// expireTokens removes the tokens whose deadline has passed and counts them as returned.
func (s *server) expireTokens(now time.Time) {
	for len(s.tokens) > 0 && !now.Before(s.tokens[0].deadline) {
		s.returned += s.tokens[0].count
		s.tokens = s.tokens[1:]
	}
}

// held returns the number of tokens of this host.
func (s *server) held() int64 {
	var n int64
	for _, b := range s.tokens {
		n += b.count
	}
	return n
}

// spend removes one token if there is one.
func (s *server) spend() {
	if len(s.tokens) == 0 {
		return
	}
	s.tokens[0].count--
	if s.tokens[0].count == 0 {
		s.tokens = s.tokens[1:]
	}
}

// takeReturned returns and clears the number of returned tokens.
func (s *server) takeReturned() int64 {
	n := s.returned
	s.returned = 0
	return n
}

// demandInterval is the time over which demand is averaged.
const demandInterval = time.Second

// demand is the moving mean of the rate of requests for which a server was considered.
type demand struct {
	count     int64
	perSecond float64
	at        time.Time
}

// update adds the requests counted since the last call to the mean.
func (d *demand) update(now time.Time) {
	elapsed := now.Sub(d.at)
	if d.at.IsZero() || elapsed > demandInterval {
		elapsed = demandInterval
	}
	if elapsed <= 0 {
		return
	}
	gain := elapsed.Seconds() / demandInterval.Seconds()
	d.perSecond += gain * (float64(d.count)/elapsed.Seconds() - d.perSecond)
	d.count, d.at = 0, now
}
