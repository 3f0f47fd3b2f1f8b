package masticsettings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// Read reads and checks the settings in file. Faults of the content are Problems.
func Read(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrap(err, "reading settings")
	}
	return Parse(filepath.Base(file), b)
}

// Parse checks the settings in b; name stands for the file in Problems.
func Parse(name string, b []byte) (Settings, error) {
	if len(b) > MaxFileBytes {
		return Settings{}, Problems{{File: name, Line: 1, Path: "$", Message: "the file is over the limit of 1 MiB"}}
	}
	tree, err := hujson.Parse(b)
	if err != nil {
		return Settings{}, Problems{syntaxProblem(name, b, err)}
	}
	shape := newShape(name, b)
	shape.check(tree, settingsType, "$")
	if len(shape.problems) > 0 {
		return Settings{}, shape.sorted()
	}
	settings := Default()
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), &settings); err != nil {
		return Settings{}, Problems{{File: name, Line: 1, Path: "$", Message: err.Error()}}
	}
	problems := checkValues(shape, settings)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return settings, nil
}

func (s *shape) sorted() Problems {
	slices.SortStableFunc(s.problems, func(a, b Problem) int { return a.Line - b.Line })
	return s.problems
}
