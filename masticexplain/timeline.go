package masticexplain

import (
	"bufio"
	"io"
	"slices"
	"strings"

	"masticladder/masticerror"
)

// maxLineBytes is the length limit of a log line. The line of a routing decision with all its
// candidates has about 2,000 bytes.
const maxLineBytes = 1 << 20

// Log messages that state the outcome of a request or its cause.
const (
	textAnswered = "request answered"
	textCut      = "request cut by the end of this host"
	textEnded    = "request refused or failed"
	textAttempt  = "attempt failed"
	textRefused  = "request refused"
)

// stateMessages are prefixes of the log messages that state what a process knew, such as its
// document, its view lease and the leader. The last line of each prefix before the request is
// part of the timeline.
var stateMessages = []string{
	"document in force", "view lease held", "view lease ended", "control leader changed", "leadership",
	"the owner of the quota", "log lines left out",
}

// Timeline holds the log lines that concern one request.
type Timeline struct {
	Request string `json:"request"`
	// StatesBefore are the last state lines, before the request, of the processes that served it.
	StatesBefore []Line `json:"before"`
	Lines        []Line `json:"lines"`
	// DecidingIndex is the index in Lines of the line that states the cause of the outcome.
	DecidingIndex int `json:"deciding"`
}

// Reader collects the log lines of one request.
type Reader struct {
	request string
	lines   []Line
	// lastStates holds the last line of each prefix in stateMessages by source. It is not
	// updated after the source's first line of the request.
	lastStates   map[string]map[string]Line
	statesBefore []Line
	snapshotted  map[string]bool
}

// NewReader returns a Reader for the request.
func NewReader(request string) *Reader {
	return &Reader{request: request, lastStates: map[string]map[string]Line{}, snapshotted: map[string]bool{}}
}

// Read parses the log of the named source. It ignores what is not a log line.
func (r *Reader) Read(source string, from io.Reader) error {
	s := bufio.NewScanner(from)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		if l, ok := parse(source, s.Bytes()); ok {
			r.add(l)
		}
	}
	if err := s.Err(); err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "read log %s", source)
	}
	return nil
}

func (r *Reader) add(l Line) {
	if l.Request == r.request {
		r.snapshotState(l.Source)
		r.lines = append(r.lines, l)
		return
	}
	if r.snapshotted[l.Source] {
		return
	}
	for _, prefix := range stateMessages {
		if strings.HasPrefix(l.Text, prefix) {
			if r.lastStates[l.Source] == nil {
				r.lastStates[l.Source] = map[string]Line{}
			}
			r.lastStates[l.Source][prefix] = l
		}
	}
}

// snapshotState copies the last state lines of source to statesBefore, once for each source.
func (r *Reader) snapshotState(source string) {
	if r.snapshotted[source] {
		return
	}
	r.snapshotted[source] = true
	for _, l := range r.lastStates[source] {
		r.statesBefore = append(r.statesBefore, l)
	}
}

// Timeline returns the lines read so far, sorted by time. It returns a notFound error if no
// line names the request.
func (r *Reader) Timeline() (Timeline, error) {
	if len(r.lines) == 0 {
		return Timeline{}, masticerror.New(masticerror.KindNotFound, "no log line of request %q", r.request)
	}
	t := Timeline{Request: r.request, StatesBefore: sortedByTime(r.statesBefore), Lines: sortedByTime(r.lines)}
	t.DecidingIndex = decidingIndex(t.Lines)
	return t, nil
}

// sortedByTime returns a copy of lines sorted by time. The sort is stable, so that lines of one
// process with equal times keep their order.
func sortedByTime(lines []Line) []Line {
	out := slices.Clone(lines)
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// isCut reports whether the line says that the end of a host cut the request.
func (l Line) isCut() bool { return l.Text == textCut }

// decidingIndex returns the index of the line that states the cause of the outcome: that the host ended, the last
// routing decision of an answered request, the last failed attempt of a request that was sent to
// a server, and the refusal of one that was never sent. If there is no such line before the line
// that states the outcome, it returns the index of the latter.
func decidingIndex(lines []Line) int {
	if i := slices.IndexFunc(lines, Line.isCut); i >= 0 {
		return i
	}
	last := len(lines) - 1
	for last > 0 && lines[last].Text != textAnswered && lines[last].Text != textEnded {
		last--
	}
	var causeTexts []string
	switch {
	case lines[last].Text == textAnswered:
		causeTexts = []string{"request routed", "service call routed"}
	case lines[last].number("sends") > 0:
		causeTexts = []string{textAttempt}
	default:
		causeTexts = []string{textRefused}
	}
	for i := last - 1; i >= 0; i-- {
		if slices.Contains(causeTexts, lines[i].Text) {
			return i
		}
	}
	return last
}
