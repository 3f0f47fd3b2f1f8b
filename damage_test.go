package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// damageLog inverts one byte, at a third of the length, of the host's largest data file and returns
// the file's name.
func damageLog(t *testing.T, p *process) string {
	files, err := filepath.Glob(filepath.Join(p.folder, "data", "*"))
	qt.Assert(t, err, qt.IsNil)
	largest, size := "", int64(0)
	for _, f := range files {
		info, err := os.Stat(f)
		qt.Assert(t, err, qt.IsNil)
		if info.Size() > size {
			largest, size = f, info.Size()
		}
	}
	b, err := os.ReadFile(largest)
	qt.Assert(t, err, qt.IsNil)
	b[len(b)/3] ^= 0xff
	qt.Assert(t, os.WriteFile(largest, b, 0o600), qt.IsNil)
	return filepath.Base(largest)
}

func TestDamagedLogIsNamedAndTheHostRejoins(t *testing.T) {
	c := qt.New(t)
	fleet, _ := startFleet(t)
	for i := range 20 {
		publishUntilAccepted(t, fleet, profileChange(i).Profiles[0].Name, profileChange(i))
	}
	damaged := fleet[2]
	damaged.kill()
	file := damageLog(t, damaged)
	program, err := buildOnce()
	c.Assert(err, qt.IsNil)

	out, err := exec.Command(program, "run", "--settings", damaged.settings).CombinedOutput()
	c.Assert(err, qt.IsNotNil)
	c.Assert(string(out), qt.Contains, file)
	c.Assert(string(out), qt.Contains, "at byte ")

	out, err = exec.Command(program, "repair", "--settings", damaged.settings).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	again, err := exec.Command(program, "repair", "--settings", damaged.settings).CombinedOutput()
	c.Assert(err, qt.IsNotNil)
	c.Assert(string(again), qt.Contains, "is not damaged")

	damaged.start()
	waitFor(t, "the repaired host is a voter again", func() bool {
		status, err := fleet[0].client().Status(t.Context())
		if err != nil {
			return false
		}
		for _, m := range status.Members {
			if m.Host == damaged.host {
				return m.Voter
			}
		}
		return false
	})
	waitServing(t, damaged)
	view, err := damaged.client().View(t.Context())
	c.Assert(err, qt.IsNil)
	names := make([]string, 0, len(view.Profiles))
	for _, p := range view.Profiles {
		names = append(names, p.Name)
	}
	c.Assert(strings.Join(names, " "), qt.Contains, "profile-19")
}
