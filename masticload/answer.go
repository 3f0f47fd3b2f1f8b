package masticload

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"masticladder/masticstream"
)

// maxAnswerBytes is the maximum size of an answer that is not streamed.
const maxAnswerBytes = 32 << 20

var (
	errIncomplete   = errors.New("the answer is not whole")
	errOutOfOrder   = errors.New("the events are not in order")
	errWrongRequest = errors.New("the answer belongs to another request")
)

// refusal is an error that the system reported in an answer or in an event of a stream.
type refusal struct {
	Kind           string `json:"kind"`
	NotRun         bool   `json:"notRun"`
	OutcomeUnknown bool   `json:"outcomeUnknown"`
}

// Error returns the error kind.
func (r *refusal) Error() string { return r.Kind }

// responseFields holds the fields of an answer or event that are read.
type responseFields struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *refusal `json:"error"`
}

// chatAnswer is the complete answer to one request.
type chatAnswer struct {
	text         string
	firstTokenAt time.Time
}

func readAnswer(response *http.Response, stream bool) (chatAnswer, error) {
	if response.StatusCode != http.StatusOK {
		return chatAnswer{}, readRefusal(response)
	}
	if stream {
		return readStream(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return chatAnswer{}, errIncomplete
	}
	var c responseFields
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		return chatAnswer{}, errIncomplete
	}
	return chatAnswer{text: c.Choices[0].Message.Content, firstTokenAt: time.Now()}, nil
}

func readRefusal(response *http.Response) error {
	var c responseFields
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&c)
	if err != nil || c.Error == nil {
		return &refusal{Kind: "status " + response.Status, OutcomeUnknown: true}
	}
	return c.Error
}

// readStream reads events up to the end mark and checks that their request ID and
// sequence numbers are the expected ones.
func readStream(response *http.Response) (chatAnswer, error) {
	var answer chatAnswer
	var text strings.Builder
	decoder := masticstream.NewDecoder(masticstream.DefaultMaxEventBytes)
	sequence := masticstream.NewSequence(response.Header.Get("Mastic-Request-Id"))
	for {
		e, ok, err := decoder.Next()
		switch {
		case err != nil:
			return answer, errIncomplete
		case !ok:
			n, err := response.Body.Read(decoder.Space())
			if decoder.Advance(n); n == 0 && err != nil {
				return answer, errIncomplete
			}
			continue
		}
		if !e.Numbered {
			return answer, eventError(e.Data)
		}
		next, verdict := sequence.Accept(e)
		switch verdict {
		case masticstream.VerdictEnd:
			answer.text = text.String()
			return answer, nil
		case masticstream.VerdictDeliver:
			sequence = next
		default:
			return answer, errOutOfOrder
		}
		if answer.firstTokenAt.IsZero() {
			answer.firstTokenAt = time.Now()
		}
		if err := appendText(&text, e.Data); err != nil {
			return answer, err
		}
	}
}

func eventError(data []byte) error {
	var c responseFields
	if json.Unmarshal(data, &c) == nil && c.Error != nil {
		return c.Error
	}
	return errIncomplete
}

func appendText(b *strings.Builder, data []byte) error {
	var c responseFields
	if json.Unmarshal(data, &c) != nil {
		return errIncomplete
	}
	for _, k := range c.Choices {
		b.WriteString(k.Delta.Content)
	}
	return nil
}
