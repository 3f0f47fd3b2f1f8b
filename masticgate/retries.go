package masticgate

import (
	"sync"

	"masticladder/masticretry"
)

// serviceRetries is the retry budget of the calls to plain services, kept by service. The dispatcher
// keeps that of model requests. It is safe for concurrent use.
type serviceRetries struct {
	mutex  sync.Mutex
	budget *masticretry.Budget
}

// allow records an attempt and reports whether it may be made: the first always, each later one if
// the budget has a retry left.
func (s *serviceRetries) allow(service string, attempt int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if attempt > 0 {
		return s.budget.TakeRetry(service)
	}
	s.budget.RecordFirstAttempt(service)
	return true
}
