package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticadmin"
	"masticladder/masticfake"
	"masticladder/masticproto"
)

// waitTimeout limits the wait for a condition, and each HTTP call.
const waitTimeout = 30 * time.Second

var buildOnce = sync.OnceValues(build)

// build compiles the program and returns its file. Tests call buildOnce.
func build() (string, error) {
	folder, err := os.MkdirTemp("", "masticladder-test-")
	if err != nil {
		return "", err
	}
	file := filepath.Join(folder, "masticladder")
	out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
}

func TestMain(m *testing.M) {
	code := m.Run()
	if file, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(file))
	}
	os.Exit(code)
}

// process is one host process of a test.
type process struct {
	t        testing.TB
	host     string
	folder   string
	settings string
	listen   string
	admin    string
	peer     string
	// peerListen is the address that the process binds for other hosts; empty means peer.
	peerListen string
	// tls is the tls object of the settings, as JSON.
	tls string
	// roles is the list of roles in the settings, as JSON.
	roles string
	// drainMillis is the bound of a drain in the settings.
	drainMillis int
	command     *exec.Cmd
	log         *lockedBuffer
}

// lockedBuffer holds the output of a process; it is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// hostIP returns the loopback address of a host of the tests in this process. No connection has its source
// there, so that a port which was free is not taken before the host listens on it.
func hostIP(i int) string {
	const firstNet, nets = 64, 64
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", firstNet+(pid>>8)%nets, pid&255, i+1)
}

func freeAddressOn(t testing.TB, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// newFleet writes the settings of count hosts, each a voter in a separate zone.
func newFleet(t testing.TB, count int) []*process {
	var fleet []*process
	for i := range count {
		ip := hostIP(i)
		fleet = append(fleet, &process{
			t:           t,
			host:        fmt.Sprintf("host-%d", i+1),
			folder:      t.TempDir(),
			listen:      freeAddressOn(t, ip),
			admin:       freeAddressOn(t, ip),
			peer:        freeAddressOn(t, ip),
			tls:         `{"plain": true}`,
			roles:       `["entry", "control"]`,
			drainMillis: 20_000,
			log:         &lockedBuffer{},
		})
	}
	for i, p := range fleet {
		p.writeSettings(i, fleet)
	}
	return fleet
}

func (p *process) writeSettings(zone int, fleet []*process) {
	var control []string
	for i, x := range fleet {
		control = append(control, fmt.Sprintf(`{"host": %q, "peer": %q, "zone": "zone-%d"}`, x.host, x.peer, i+1))
	}
	text := fmt.Sprintf(`{
  // A host of a test.
  "host": %q, "owner": "association", "zone": "zone-%d", "roles": %s,
  "listen": %q, "admin": %q, "peer": %q, "peerListen": %q, "dataFolder": %q,
  "control": [%s],
  "timing": {"addressListMillis": 300, "drainMillis": %d},
  "tls": %s,
}`, p.host, zone+1, p.roles, p.listen, p.admin, p.peer, p.peerListen, filepath.Join(p.folder, "data"), strings.Join(control, ", "), p.drainMillis, p.tls)
	p.settings = filepath.Join(p.folder, "host.jsonc")
	qt.Assert(p.t, os.WriteFile(p.settings, []byte(text), 0o600), qt.IsNil)
}

func (p *process) start() {
	file, err := buildOnce()
	qt.Assert(p.t, err, qt.IsNil)
	p.command = exec.Command(file, "run", "--settings", p.settings)
	p.command.Stderr = p.log
	qt.Assert(p.t, p.command.Start(), qt.IsNil)
	p.t.Cleanup(p.kill)
	p.t.Cleanup(p.showLog)
}

// showLog prints the end of the process's log if the test has failed.
func (p *process) showLog() {
	if p.t.Failed() {
		p.t.Logf("the log of %s ends with:\n%s", p.host, tail(p.log.String(), failureLogBytes))
	}
}

// failureLogBytes is the length of the log that a failed test prints for each process.
const failureLogBytes = 6000

func (p *process) signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// freeze sends SIGSTOP and returns once all threads of the process have stopped.
func (p *process) freeze() {
	p.signal(syscall.SIGSTOP)
	waitFor(p.t, p.host+" stopped", p.allThreadsStopped)
}

// allThreadsStopped reports whether every thread of the process is in state T (stopped).
func (p *process) allThreadsStopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		_, rest, ok := strings.Cut(string(b), ") ")
		if err != nil || !ok || rest[0] != 'T' {
			return false
		}
	}
	return true
}

// kill ends the process with SIGKILL, so that it cannot write anything more.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) client() *masticadmin.Client { return masticadmin.NewClient("http://" + p.admin) }

// leads reports whether the process reports itself as the leader of the control group.
func (p *process) leads() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := p.client().Status(ctx)
	return err == nil && status.Leader == p.host
}

// waitFor waits until the condition holds and fails the test after waitTimeout.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func waitLeader(t testing.TB, fleet ...*process) *process {
	t.Helper()
	var leader *process
	waitFor(t, "a leader", func() bool {
		for _, p := range fleet {
			if p.leads() {
				leader = p
			}
		}
		return leader != nil
	})
	return leader
}

// backends are the stand-in backend servers of a test.
type backends struct {
	engines []*masticfake.Engine
	orders  *masticfake.Service
	change  *masticproto.ViewChange
}

// testKey is the secret of the callers' key in a test.
const testKey = "test-key-association"

func startBackends(t testing.TB) *backends {
	b := &backends{change: testChange()}
	for i, speed := range []float64{0, 50_000} {
		name := fmt.Sprintf("engine-%d", i+1)
		e := masticfake.NewEngine(name, masticfake.WithModel("saw", "1"), masticfake.WithSpeed(speed, 0), masticfake.WithOutput(24))
		b.engines = append(b.engines, e)
		b.serve(t, name, e, "engine")
	}
	b.orders = masticfake.NewService("orders")
	b.serve(t, "orders-1", b.orders, "service")
	return b
}

func (b *backends) serve(t testing.TB, name string, h http.Handler, kind string) {
	s, err := masticfake.Serve(h)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Down)
	item := &masticproto.Server{Name: name, Kind: kind, Url: s.URL(), Owner: "glenmorven", Zone: "zone-1", State: "active"}
	if kind == "engine" {
		item.Models = []string{"saw"}
		item.WeightsVersion = "1"
	}
	b.change.Servers = append(b.change.Servers, item)
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func call(method, url, key, body string, header ...string) answer {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header, string(b), err}
}

// chat requests a streamed answer to a prompt from the host.
func (p *process) chat(key, prompt string) answer {
	return p.converse(key, masticfake.Message{Role: "user", Content: prompt})
}

// converse sends a chat request with the given messages.
func (p *process) converse(key string, messages ...masticfake.Message) answer {
	body, _ := json.Marshal(chatRequest{Model: "saw", Stream: true, Messages: messages})
	return call(http.MethodPost, "http://"+p.listen+"/v1/chat/completions", key, string(body))
}

type chatRequest struct {
	Model    string               `json:"model"`
	Stream   bool                 `json:"stream"`
	Messages []masticfake.Message `json:"messages"`
}

// order sends a service call that must not run twice.
func (p *process) order(id string) answer {
	return call(http.MethodPost, "http://"+p.listen+"/services/orders/book/"+id, testKey, `{"order":"`+id+`"}`, "Idempotency-Key", id)
}
