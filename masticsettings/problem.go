package masticsettings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	// Line counts from one.
	Line    int
	Path    string
	Message string
}

// String returns the fault as file:line: path: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// Problems are all faults of a settings file, in the order of their lines.
type Problems []Problem

// Error returns the faults, a line each.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, x := range p {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}
