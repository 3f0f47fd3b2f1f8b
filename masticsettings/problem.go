package masticsettings

import (
	"fmt"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line is the line number, starting at 1.
	Line    int
	Path    string
	Message string
}

// String returns the problem as "file:line: path: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// Problems are the errors found in a settings file, ordered by line.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, x := range p {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}
