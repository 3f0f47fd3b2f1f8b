package masticcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticdaemon"
	"masticladder/masticfake"
	"masticladder/masticsettings"
)

const demoHelp = `Runs one host with two stand-in engines of different speed and stand-in services, all on
loopback, with its state in a temporary folder.

Examples:
  masticladder demo
  masticladder demo --listen 127.0.0.1:8600 --admin 127.0.0.1:8601 --verbose

Keys: demo-key-association (profile association-review), demo-key-glenmorven (profile glenmorven-counter).
Services: orders (not repeatable), stock (repeatable), status (open to all). Model: saw.

` + exitCodeHelp

// demoStartTimeout limits the time until the demo serves.
const demoStartTimeout = 10 * time.Second

type demoCommand struct {
	Listen  string `long:"listen" default:"127.0.0.1:8600" description:"IP:port for callers"`
	Admin   string `long:"admin" default:"127.0.0.1:8601" description:"IP:port for operators"`
	Verbose bool   `long:"verbose" description:"log decisions on standard error"`
}

// Execute runs the demo until a signal stops it.
func (d *demoCommand) Execute([]string) error {
	servers, err := startDemoServers()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "masticladder-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	daemon, log, err := d.start(folder)
	if err != nil {
		return err
	}
	handler := newSignalHandler(daemon, log)
	go handler.run()
	publisher := &demoPublisher{daemon: daemon, servers: servers}
	go publisher.run()
	return daemon.Run()
}

func (d *demoCommand) start(folder string) (*masticdaemon.Daemon, *logrus.Logger, error) {
	settings, err := d.settings(folder)
	if err != nil {
		return nil, nil, err
	}
	log, err := masticdaemon.NewLog(settings.Log, os.Stderr)
	if err != nil {
		return nil, nil, err
	}
	daemon, err := masticdaemon.New(settings, masticdaemon.WithLog(log))
	return daemon, log, err
}

func (d *demoCommand) settings(folder string) (masticsettings.Settings, error) {
	s := masticsettings.Default()
	peer, err := freeAddress()
	if err != nil {
		return s, err
	}
	s.Host = "demo"
	s.Owner = ownerAssociation
	s.Zone = "demo"
	s.Roles = []masticsettings.Role{masticsettings.RoleEntry, masticsettings.RoleControl}
	s.Listen = d.Listen
	s.Admin = d.Admin
	s.Peer = peer
	s.DataFolder = folder
	s.Control = []masticsettings.ControlHost{{Host: s.Host, Peer: peer, Zone: s.Zone}}
	s.TLS.Plain = true
	s.Timing.AddressListMillis = 1000
	s.Log.Level = "warn"
	if d.Verbose {
		s.Log.Level = "info"
	}
	return s, nil
}

// freeAddress returns a loopback address with a port that was free when it was checked.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Speeds of the demo's engines, in tokens per second.
const (
	fastPrefill = 20_000
	fastDecode  = 200
	slowPrefill = 4_000
	slowDecode  = 60
)

func startDemoServers() ([]demoServer, error) {
	fast := masticfake.NewEngine("engine-fast", masticfake.WithModel(demoModel, "1"), masticfake.WithSpeed(fastPrefill, fastDecode), masticfake.WithFencing())
	slow := masticfake.NewEngine("engine-slow", masticfake.WithModel(demoModel, "1"), masticfake.WithSpeed(slowPrefill, slowDecode), masticfake.WithFencing())
	engines := []struct {
		name, owner string
		engine      *masticfake.Engine
	}{
		{"engine-fast", ownerAssociation, fast},
		{"engine-slow", ownerGlenmorven, slow},
	}
	var out []demoServer
	for _, e := range engines {
		s, err := masticfake.Serve(e.engine)
		if err != nil {
			return nil, err
		}
		out = append(out, demoServer{name: e.name, owner: e.owner, url: s.URL()})
	}
	for _, name := range []string{"orders", "stock", "status"} {
		s, err := masticfake.Serve(masticfake.NewService(name))
		if err != nil {
			return nil, err
		}
		out = append(out, demoServer{name: name + "-1", owner: ownerGlenmorven, url: s.URL(), service: true})
	}
	return out, nil
}

// demoPublisher publishes the demo's configuration and prints a ready line once the demo serves.
type demoPublisher struct {
	daemon  *masticdaemon.Daemon
	servers []demoServer
}

func (p *demoPublisher) run() {
	ctx, cancel := context.WithTimeout(context.Background(), demoStartTimeout)
	defer cancel()
	published := false
	for {
		var err error
		if !published {
			_, err = p.daemon.Operator().Publish(ctx, "demo-configuration", 0, demoChange(p.servers))
			published = err == nil
		}
		if published && p.daemon.Serving() {
			break
		}
		if ctx.Err() != nil {
			fmt.Fprintln(os.Stderr, "the demo did not start:", err)
			p.daemon.End()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.announce()
}

func (p *demoPublisher) announce() {
	_ = json.NewEncoder(output).Encode(readyLine{Ready: true, Listen: p.daemon.Listen(), Admin: p.daemon.Admin()})
	fmt.Fprintf(output, "curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		`-d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Which set width for a 0.9 mm band?"}]}'`+"\n",
		p.daemon.Listen(), demoSecretAssociation, demoModel)
	for _, s := range p.servers {
		if s.service {
			fmt.Fprintf(output, "stand-in %s: %s (GET /count)\n", s.name, s.url)
		}
	}
}
