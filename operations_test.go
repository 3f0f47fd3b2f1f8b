package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var addressPattern = regexp.MustCompile(`127\.0\.0\.(\d|\$n|@N@):(8600|8601|8602|9001|9002|9003)`)

// page holds the commands and files of a documentation page, with its ports replaced by free ones.
type page struct {
	script strings.Builder
	files  map[string]string
}

// readPage collects the page's files (jsonc blocks with a name) and its commands (sh blocks).
func readPage(t *testing.T, file string) *page {
	b, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	p := &page{files: map[string]string{}}
	text := p.withFreePorts(t, string(b))
	for i, block := range strings.Split(text, "```") {
		if i%2 == 0 {
			continue
		}
		head, body, _ := strings.Cut(block, "\n")
		if name, ok := strings.CutPrefix(head, "jsonc "); ok {
			p.files[name] = body
		} else if head == "sh" {
			p.script.WriteString(body)
		}
	}
	return p
}

// withFreePorts replaces each port by one that is free on all addresses of the page.
func (p *page) withFreePorts(t *testing.T, text string) string {
	ports := map[string]string{}
	return addressPattern.ReplaceAllStringFunc(text, func(address string) string {
		host, port, _ := strings.Cut(address, ":")
		if ports[port] == "" {
			free := freeAddressOn(t, "0.0.0.0")
			ports[port] = free[strings.LastIndexByte(free, ':')+1:]
		}
		return host + ":" + ports[port]
	})
}

func TestOperationsPage(t *testing.T) {
	c := qt.New(t)
	file, err := buildOnce()
	c.Assert(err, qt.IsNil)
	folder := t.TempDir()
	p := readPage(t, "docs/OPERATIONS.md")
	for name, body := range p.files {
		c.Assert(os.WriteFile(filepath.Join(folder, name), []byte(body), 0o600), qt.IsNil)
	}
	script := "set -eux\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n" + p.script.String()
	command := exec.Command("bash", "-c", script)
	command.Dir = folder
	command.Env = append(os.Environ(), "PATH="+filepath.Dir(file)+":"+os.Getenv("PATH"))
	out, err := command.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s\n%s", tail(string(out), 4000), logTails(folder)))
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// logTails returns the ends of the hosts' logs in folder, their lines of refused requests and the
// report of the load.
func logTails(folder string) string {
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	var b strings.Builder
	for _, f := range files {
		text, _ := os.ReadFile(f)
		fmt.Fprintf(&b, "== %s\n%s\n", filepath.Base(f), tail(string(text), 2000))
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "request refused") {
				b.WriteString(line)
			}
		}
	}
	load, _ := os.ReadFile(filepath.Join(folder, "load.json"))
	b.Write(load)
	return b.String()
}
