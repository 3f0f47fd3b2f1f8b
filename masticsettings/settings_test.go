package masticsettings

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files")

func TestReadMatchesGoldenFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 10, qt.IsTrue)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			c := qt.New(t)
			settings, err := Read(f)
			got := renderResult(c, settings, err)
			golden := strings.TrimSuffix(f, ".jsonc") + ".golden"
			if *update {
				c.Assert(os.WriteFile(golden, []byte(got), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, string(want))
		})
	}
}

func renderResult(c *qt.C, s Settings, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	b, err := json.MarshalIndent(s, "", "  ")
	c.Assert(err, qt.IsNil)
	return string(b) + "\n"
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.jsonc")
	for _, x := range files {
		b, err := os.ReadFile(x)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := Parse("fuzz", b)
		if err == nil {
			return
		}
		var p Problems
		if !asProblems(err, &p) || len(p) == 0 || p[0].Line < 1 {
			t.Fatalf("error without a line number: %v", err)
		}
	})
}

func asProblems(err error, p *Problems) bool {
	x, ok := err.(Problems)
	*p = x
	return ok
}
