package masticexplain

import (
	"bufio"
	"io"
	"slices"
	"strings"

	"masticladder/masticerror"
)

// maxLineBytes bounds a line; a decision with all its candidates has some 2,000 bytes.
const maxLineBytes = 1 << 20

// Outcomes of a request and what leads to them.
const (
	textAnswered = "request answered"
	textEnded    = "request refused or failed"
	textAttempt  = "attempt failed"
	textRefused  = "request refused"
)

// beliefs are the lines that tell what a process believed, by the start of their text. The
// last of each before the request is part of its account.
var beliefs = []string{
	"document in force", "view lease held", "view lease ended", "control leader changed", "leadership",
	"the owner of the quota", "log lines left out",
}

// Account is all that the logs tell of one request.
type Account struct {
	Request string `json:"request"`
	// Before are what the processes that served the request believed when it came.
	Before []Line `json:"before"`
	Lines  []Line `json:"lines"`
	// Deciding is the index in Lines of the line that decided the outcome.
	Deciding int `json:"deciding"`
}

// Reader gathers the lines of one request.
type Reader struct {
	request string
	lines   []Line
	// believed are the last lines of each belief by source; they are frozen at the source's
	// first line of the request.
	believed map[string]map[string]Line
	before   []Line
	served   map[string]bool
}

// NewReader returns a Reader for the request.
func NewReader(request string) *Reader {
	return &Reader{request: request, believed: map[string]map[string]Line{}, served: map[string]bool{}}
}

// Read takes the log of the named source.
func (r *Reader) Read(source string, from io.Reader) error {
	s := bufio.NewScanner(from)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		if l, ok := parse(source, s.Bytes()); ok {
			r.take(l)
		}
	}
	if err := s.Err(); err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "reading the log %s", source)
	}
	return nil
}

func (r *Reader) take(l Line) {
	if l.Request == r.request {
		r.freeze(l.Source)
		r.lines = append(r.lines, l)
		return
	}
	if r.served[l.Source] {
		return
	}
	for _, b := range beliefs {
		if strings.HasPrefix(l.Text, b) {
			if r.believed[l.Source] == nil {
				r.believed[l.Source] = map[string]Line{}
			}
			r.believed[l.Source][b] = l
		}
	}
}

// freeze keeps what source believed when the request came.
func (r *Reader) freeze(source string) {
	if r.served[source] {
		return
	}
	r.served[source] = true
	for _, l := range r.believed[source] {
		r.before = append(r.before, l)
	}
}

// Account returns what was read. Error: notFound where no line names the request.
func (r *Reader) Account() (Account, error) {
	if len(r.lines) == 0 {
		return Account{}, masticerror.New(masticerror.KindNotFound, "no line names the request %q", r.request)
	}
	a := Account{Request: r.request, Before: inOrder(r.before), Lines: inOrder(r.lines)}
	a.Deciding = deciding(a.Lines)
	return a, nil
}

// inOrder returns lines by their times; those of one process keep their order.
func inOrder(lines []Line) []Line {
	out := slices.Clone(lines)
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// deciding returns the index of the line that decided the outcome: the last failed attempt
// where the request was sent, what refused it where it was not, and for an answer the placing
// that led to it.
func deciding(lines []Line) int {
	last := len(lines) - 1
	for last > 0 && lines[last].Text != textAnswered && lines[last].Text != textEnded {
		last--
	}
	var causes []string
	switch {
	case lines[last].Text == textAnswered:
		causes = []string{"request routed", "service call routed"}
	case lines[last].number("sends") > 0:
		causes = []string{textAttempt}
	default:
		causes = []string{textRefused}
	}
	for i := last - 1; i >= 0; i-- {
		if slices.Contains(causes, lines[i].Text) {
			return i
		}
	}
	return last
}
