package masticagent

import (
	"context"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// originQuestion asks the control group for the record of a key, or without one for the version of all streams of the service.
type originQuestion struct {
	key     masticcall.StreamKey
	keyless bool
	service string
	answer  chan masticcall.StreamOrigin
	ctx     context.Context
}

// encodedKey returns the key as it is sent, empty if there is none.
func (q *originQuestion) encodedKey() []byte {
	if q.keyless {
		return nil
	}
	return q.key[:]
}

// Find answers from this host's own records or asks the control group.
func (o *origins) Find(ctx context.Context, keys masticcall.StreamKeys, service string) (masticcall.StreamOrigin, error) {
	questions := make([]*originQuestion, 0, len(keys))
	for _, k := range keys {
		questions = append(questions, &originQuestion{key: k, service: service, answer: make(chan masticcall.StreamOrigin, 1), ctx: ctx})
	}
	if len(keys) == 0 {
		questions = append(questions, &originQuestion{keyless: true, service: service, answer: make(chan masticcall.StreamOrigin, 1), ctx: ctx})
	}
	if software, ok := o.ask(questions...); ok {
		return masticcall.StreamOrigin{Software: software, Recorded: true, ByItself: true}, nil
	}
	var found masticcall.StreamOrigin
	for _, q := range questions {
		unknown := found.Unknown
		select {
		case found = <-q.answer:
			found.Unknown = !found.Recorded && (found.Unknown || unknown)
		case <-ctx.Done():
			return masticcall.StreamOrigin{}, masticerror.New(masticerror.KindNoQuorum, "the control group did not say in time which version began the stream")
		}
		if found.Recorded {
			break
		}
	}
	return found, nil
}

// ask queues questions on one stream, unless this host has an acknowledged record itself.
func (o *origins) ask(questions ...*originQuestion) (string, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, q := range questions {
		if r, ok := o.records[q.key]; ok && r.acknowledged && !q.keyless {
			return r.software, true
		}
	}
	if len(o.asked) < maxOrigins {
		o.asked = append(o.asked, questions...)
		o.signal()
	}
	return "", false
}
