package masticcommand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"masticladder/masticfake"
)

const standinHelp = `Runs one stand-in backend server, for trying the system out and for its tests.

Examples:
  masticladder standin --listen 127.0.0.1:9001 --name engine-1 --model saw
  masticladder standin --listen 127.0.0.1:9100 --name orders --kind service

GET /count on a stand-in service returns how often each order ran. The stand-in stops on SIGTERM.

` + exitCodeHelp

// standinHeaderTimeout limits the time to read the headers of a request to a stand-in.
const standinHeaderTimeout = 10 * time.Second

type standinCommand struct {
	Listen  string   `long:"listen" required:"true" description:"IP:port"`
	Name    string   `long:"name" required:"true" description:"the backend server's name"`
	Kind    string   `long:"kind" default:"engine" choice:"engine" choice:"service" description:"model engine or plain service"`
	Models  []string `long:"model" description:"model that the engine serves; may be given several times"`
	Prefill float64  `long:"prefill" default:"20000" description:"prefill speed in tokens per second; 0 means no delay"`
	Decode  float64  `long:"decode" default:"100" description:"decode speed in tokens per second; 0 means no delay"`
	Output  int      `long:"output" default:"32" description:"tokens of an answer unless the request's limit is smaller"`
	Killer  string   `long:"killer" description:"a prompt with this text crashes the engine"`
}

// Execute runs the stand-in until a signal stops it.
func (s *standinCommand) Execute([]string) error {
	server := &http.Server{Addr: s.Listen, Handler: s.handler(), ReadHeaderTimeout: standinHeaderTimeout}
	stop := &serverStop{server: server, signals: make(chan os.Signal, 1)}
	signal.Notify(stop.signals, syscall.SIGTERM, syscall.SIGINT)
	go stop.run()
	if err := json.NewEncoder(output).Encode(readyLine{Ready: true, Listen: s.Listen}); err != nil {
		return err
	}
	err := server.ListenAndServe()
	if err == http.ErrServerClosed {
		return nil
	}
	return fmt.Errorf("stand-in %s: %w", s.Name, err)
}

func (s *standinCommand) handler() http.Handler {
	if s.Kind == "service" {
		return masticfake.NewService(s.Name)
	}
	options := []masticfake.Option{
		masticfake.WithSpeed(s.Prefill, s.Decode),
		masticfake.WithOutput(s.Output),
		masticfake.WithFencing(),
	}
	if s.Killer != "" {
		options = append(options, masticfake.WithKiller(s.Killer))
	}
	for _, m := range s.Models {
		options = append(options, masticfake.WithModel(m, "1"))
	}
	return masticfake.NewEngine(s.Name, options...)
}

// readyLine is printed once a process serves, for programs that wait for it.
type readyLine struct {
	Ready  bool   `json:"ready"`
	Listen string `json:"listen"`
	Admin  string `json:"admin,omitempty"`
}

// serverStop closes a server on a signal.
type serverStop struct {
	server  *http.Server
	signals chan os.Signal
}

func (s *serverStop) run() {
	<-s.signals
	_ = s.server.Close()
}
