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

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 32 << 20

var (
	errNotWhole = errors.New("the answer is not whole")
	errOrder    = errors.New("the events are not in order")
	errNotOwn   = errors.New("the answer belongs to another request")
)

// refusal is an error answer or error event of the system.
type refusal struct {
	Kind           string `json:"kind"`
	NotRun         bool   `json:"notRun"`
	OutcomeUnknown bool   `json:"outcomeUnknown"`
}

// Error returns the kind.
func (r *refusal) Error() string { return r.Kind }

// content is the part of an answer or event that is looked at.
type content struct {
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

// received is what came back for one request.
type received struct {
	text    string
	firstAt time.Time
}

func readAnswer(a *http.Response, stream bool) (received, error) {
	if a.StatusCode != http.StatusOK {
		return received{}, readRefusal(a)
	}
	if stream {
		return readStream(a)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return received{}, errNotWhole
	}
	var c content
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		return received{}, errNotWhole
	}
	return received{text: c.Choices[0].Message.Content, firstAt: time.Now()}, nil
}

func readRefusal(a *http.Response) error {
	var c content
	err := json.NewDecoder(io.LimitReader(a.Body, maxAnswerBytes)).Decode(&c)
	if err != nil || c.Error == nil {
		return &refusal{Kind: "status " + a.Status, OutcomeUnknown: true}
	}
	return c.Error
}

// readStream reads events to the end mark and checks their request and numbers.
func readStream(a *http.Response) (received, error) {
	var out received
	var text strings.Builder
	d := masticstream.NewDecoder(masticstream.DefaultMaxEventBytes)
	s := masticstream.NewSequence(a.Header.Get("Mastic-Request-Id"))
	for {
		e, ok, err := d.Next()
		switch {
		case err != nil:
			return out, errNotWhole
		case !ok:
			n, err := a.Body.Read(d.Space())
			if d.Advance(n); n == 0 && err != nil {
				return out, errNotWhole
			}
			continue
		}
		if !e.Numbered {
			return out, errorOf(e.Data)
		}
		next, verdict := s.Accept(e)
		switch verdict {
		case masticstream.VerdictEnd:
			out.text = text.String()
			return out, nil
		case masticstream.VerdictDeliver:
			s = next
		default:
			return out, errOrder
		}
		if out.firstAt.IsZero() {
			out.firstAt = time.Now()
		}
		if err := appendText(&text, e.Data); err != nil {
			return out, err
		}
	}
}

func errorOf(data []byte) error {
	var c content
	if json.Unmarshal(data, &c) == nil && c.Error != nil {
		return c.Error
	}
	return errNotWhole
}

func appendText(b *strings.Builder, data []byte) error {
	var c content
	if json.Unmarshal(data, &c) != nil {
		return errNotWhole
	}
	for _, k := range c.Choices {
		b.WriteString(k.Delta.Content)
	}
	return nil
}
