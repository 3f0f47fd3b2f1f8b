// Package masticexplain puts the log lines of one request in order, over all processes, and
// names the one that decided how it ended.
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

// Line is one line of a log.
type Line struct {
	At time.Time `json:"time"`
	// Source names the process: the file, and what stands before the JSON text in it.
	Source string `json:"source"`
	Text   string `json:"text"`
	// Request is the identifier of the request that the line is about, empty for none.
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// shown are the fields that have a place of their own in a line.
var shown = []string{"time", "msg", "level", "request"}

// parse reads one line of source. It reports false for what is no line of a log.
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
	if before := strings.Fields(string(b[:start])); len(before) > 0 {
		l.Source += " " + before[len(before)-1]
	}
	l.Text, _ = fields["msg"].(string)
	l.Request, _ = fields["request"].(string)
	at, _ := fields["time"].(string)
	var err error
	if l.At, err = time.Parse(time.RFC3339Nano, at); err != nil || l.Text == "" {
		return Line{}, false
	}
	for _, name := range shown {
		delete(fields, name)
	}
	return l, true
}

// number returns a field as a number, zero where it is none.
func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// String returns the line with its fields in the order of their names.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.At.UTC().Format("15:04:05.000"), l.Source, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := fmt.Sprint(l.Fields[name]); value != "" {
			fmt.Fprintf(&b, " %s=%q", name, value)
		}
	}
	return b.String()
}
