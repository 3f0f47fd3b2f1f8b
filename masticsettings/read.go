package masticsettings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Read reads and validates the settings in file. Errors in the content are returned as Problems.
func Read(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrap(err, "reading settings")
	}
	return Parse(filepath.Base(file), b)
}

// Parse parses and validates the settings in b. Errors are Problems, with name as their File.
func Parse(name string, b []byte) (Settings, error) {
	if len(b) > MaxFileBytes {
		return Settings{}, Problems{{File: name, Line: 1, Path: "$", Message: "the file is over the limit of 1 MiB"}}
	}
	tree, err := hujson.Parse(b)
	if err != nil {
		return Settings{}, Problems{syntaxProblem(name, b, err)}
	}
	checker := newSchemaChecker(name, b)
	checker.check(tree, settingsType, "$")
	if len(checker.problems) > 0 {
		return Settings{}, checker.sortedProblems()
	}
	settings := Default()
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), &settings); err != nil {
		return Settings{}, Problems{{File: name, Line: 1, Path: "$", Message: err.Error()}}
	}
	problems := checkValues(checker, settings)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return settings, nil
}

func (s *schemaChecker) sortedProblems() Problems {
	slices.SortStableFunc(s.problems, func(a, b Problem) int { return a.Line - b.Line })
	return s.problems
}
