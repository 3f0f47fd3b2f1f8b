package masticstream

// Event is one event of an answer stream.
type Event struct {
	// RequestID identifies the request that the event answers.
	RequestID string
	// Number counts the events of one answer from zero.
	Number uint64
	// Numbered reports whether the event has a request identifier and a number.
	Numbered bool
	// Data is the payload. It is a part of the decoder's buffer and valid until the decoder is
	// used again.
	Data []byte
}

// EndMark is the payload of the last event of a complete answer.
const EndMark = "[DONE]"

// IsEnd reports whether the event marks the end of a complete answer.
func (e Event) IsEnd() bool { return string(e.Data) == EndMark }

// Verdict says how a receiver handles an event.
type Verdict int

// The verdicts of Accept.
const (
	// VerdictDeliver passes the event on.
	VerdictDeliver Verdict = iota
	// VerdictEnd passes the event on and ends the answer, which is complete.
	VerdictEnd
	// VerdictDuplicate drops a duplicate of a delivered event.
	VerdictDuplicate
	// VerdictGap means that events are missing: the answer has to be resumed from Next.
	VerdictGap
	// VerdictWrongRequest means that the event is not numbered or belongs to another request: it is
	// dropped and the connection is closed.
	VerdictWrongRequest
	// VerdictAfterEnd drops an event that follows the end mark.
	VerdictAfterEnd
)

// Sequence is the progress of one answer over all attempts to get it. It is immutable.
type Sequence struct {
	requestID string
	next      uint64
	ended     bool
}

// NewSequence returns the start of the answer to requestID.
func NewSequence(requestID string) Sequence { return Sequence{requestID: requestID} }

// Next returns the number of the next event to deliver.
func (s Sequence) Next() uint64 { return s.next }

// Ended reports whether the end mark was accepted.
func (s Sequence) Ended() bool { return s.ended }

// Accept returns the sequence after e and the verdict on e.
func (s Sequence) Accept(e Event) (Sequence, Verdict) {
	switch {
	case !e.Numbered || e.RequestID != s.requestID:
		return s, VerdictWrongRequest
	case s.ended:
		return s, VerdictAfterEnd
	case e.Number < s.next:
		return s, VerdictDuplicate
	case e.Number > s.next:
		return s, VerdictGap
	}
	s.next++
	if e.IsEnd() {
		s.ended = true
		return s, VerdictEnd
	}
	return s, VerdictDeliver
}
