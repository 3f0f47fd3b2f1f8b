package masticcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticstate"
)

// commandResult is the reply to the host that sent a command.
type commandResult struct {
	answer  *masticproto.CommandAnswer
	refusal error
}

// applyEntry applies a committed log entry to the state.
func (l *loop) applyEntry(now time.Time, e *masticproto.Entry) (commandResult, error) {
	switch e.GetKind() {
	case masticproto.EntryKind_ENTRY_MEMBERS:
		l.membersCommitted(e)
	case masticproto.EntryKind_ENTRY_COMMAND:
		command := new(masticproto.Command)
		if err := proto.Unmarshal(e.GetData(), command); err != nil {
			return commandResult{}, masticerror.Wrap(err, masticerror.KindInternal, "decode entry %d", e.GetIndex())
		}
		l.lastCommitted = now
		return l.applyCommand(now, e.GetIndex(), command), nil
	}
	return commandResult{}, nil
}

// applyCommand applies a command and passes its effects to the watchers and the leader.
func (l *loop) applyCommand(now time.Time, index uint64, command *masticproto.Command) commandResult {
	before := l.state.View().Revision()
	result := l.state.Apply(index, command)
	l.markViewChanged(before)
	if l.leader != nil {
		l.leader.applied(now, result)
		l.leader.appliedLoad(now, command.GetLoad(), result)
	}
	answer, refusal := answerOf(result)
	return commandResult{answer: answer, refusal: refusal}
}

// answerOf returns the reply to the host that sent the command, from the state's result.
func answerOf(result masticstate.Result) (*masticproto.CommandAnswer, error) {
	switch r := result.(type) {
	case masticstate.PublishResult:
		return &masticproto.CommandAnswer{Revision: r.Revision, Repeated: r.Repeated}, r.Err
	case masticstate.ReserveResult:
		return reserveAnswer(r), r.Err
	case masticstate.ReleaseResult:
		return &masticproto.CommandAnswer{Done: r.Released}, nil
	case masticstate.RecordResult:
		return &masticproto.CommandAnswer{Done: r.Recorded}, nil
	case masticstate.UsageResult:
		return &masticproto.CommandAnswer{Done: r.Open, Sequence: r.Sequence}, nil
	case masticstate.SuspectResult:
		return &masticproto.CommandAnswer{Done: r.Err == nil}, r.Err
	case masticstate.HoldResult:
		return &masticproto.CommandAnswer{Done: r.Held, Busy: r.PartBusy}, r.Err
	case masticstate.LeavingResult:
		return &masticproto.CommandAnswer{Done: r.Applied}, nil
	case masticstate.OriginsResult:
		return originsAnswer(r), nil
	case masticstate.LoadResult:
		return &masticproto.CommandAnswer{Done: r.Applied}, nil
	case masticstate.DocumentResult:
		return &masticproto.CommandAnswer{Revision: r.Number, Repeated: r.Repeated, Done: r.Err == nil}, r.Err
	case masticstate.WeightsResult:
		return &masticproto.CommandAnswer{Done: r.Err == nil}, r.Err
	case masticstate.RolloutResult:
		return &masticproto.CommandAnswer{Done: r.Err == nil, Repeated: r.Repeated}, r.Err
	case masticstate.InvalidResult:
		return nil, r.Err
	default:
		return &masticproto.CommandAnswer{Done: true}, nil
	}
}

func originsAnswer(r masticstate.OriginsResult) *masticproto.CommandAnswer {
	a := &masticproto.CommandAnswer{Done: true}
	for _, k := range r.Unrecorded {
		a.Unrecorded = append(a.Unrecorded, k[:]...)
	}
	for _, o := range r.Origins {
		a.Origins = append(a.Origins, &masticproto.StreamOrigin{Software: o.Software, Recorded: o.Recorded, Unknown: o.Unknown})
	}
	return a
}

func reserveAnswer(r masticstate.ReserveResult) *masticproto.CommandAnswer {
	a := r.Reservation.Answer
	return &masticproto.CommandAnswer{
		OrderState: string(r.Reservation.State),
		Answer: &masticproto.StoredAnswer{
			Status:      int32(a.Status),
			ContentType: a.ContentType,
			Body:        a.Body,
			Truncated:   a.Truncated,
		},
	}
}
