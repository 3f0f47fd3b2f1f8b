// Package masticexplain merges the log lines of one request from all processes into a timeline
// and finds the line that states the cause of its outcome.
package masticexplain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one parsed log line.
type Line struct {
	Time time.Time `json:"time"`
	// Source names the process: the file name and, where the line has a prefix before the JSON
	// object, the last word of that prefix.
	Source string `json:"source"`
	Text   string `json:"text"`
	// Request is the identifier of the line's request, empty if it belongs to none.
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// omittedFields are not copied to Line.Fields: all but the level have a field of Line.
var omittedFields = []string{"time", "msg", "level", "request"}

// parse parses one line of source. It returns false if b is not a log line: a JSON object with
// an RFC 3339 time and a message.
func parse(source string, b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(b[start:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Source: source, Fields: fields}
	if words := strings.Fields(string(b[:start])); len(words) > 0 {
		l.Source += " " + words[len(words)-1]
	}
	l.Text, _ = fields["msg"].(string)
	l.Request, _ = fields["request"].(string)
	at, _ := fields["time"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, at); err != nil || l.Text == "" {
		return Line{}, false
	}
	for _, name := range omittedFields {
		delete(fields, name)
	}
	return l, true
}

// number returns the numeric value of a field, zero if it is absent or not a number.
func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// String formats the line with its non-empty fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Source, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := fmt.Sprint(l.Fields[name]); value != "" {
			fmt.Fprintf(&b, " %s=%q", name, value)
		}
	}
	return b.String()
}
