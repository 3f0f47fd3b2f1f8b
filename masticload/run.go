package masticload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"masticladder/masticfake"
)

// runner is one run.
type runner struct {
	options   Options
	client    *http.Client
	directory *directory
	// planned holds the times at which requests are due; it is bounded, so that a
	// system that is too slow delays the plan and is not flooded.
	planned chan due
	workers sync.WaitGroup
	result  *collector
}

// due is one planned request.
type due struct {
	number int
	at     time.Time
}

// chatRequest is a request of the usual protocol.
type chatRequest struct {
	Model     string               `json:"model"`
	Messages  []masticfake.Message `json:"messages"`
	MaxTokens int                  `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
}

// Run sends the requests and returns what came back. An error means that the run
// could not be made; answers that fail are part of the report.
func Run(o Options) (Report, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return Report{}, err
	}
	r := newRunner(o)
	defer r.client.CloseIdleConnections()
	if _, err := r.directory.pick(context.Background(), time.Now()); err != nil {
		return Report{}, err
	}
	started := time.Now()
	for range o.AtOnce {
		r.workers.Add(1)
		go r.loop()
	}
	r.plan(started)
	r.workers.Wait()
	return r.result.report(time.Since(started)), nil
}

func newRunner(o Options) *runner {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: o.AtOnce},
		Timeout:   time.Duration(o.TimeoutMillis) * time.Millisecond,
	}
	return &runner{
		options: o,
		client:  client,
		directory: &directory{
			client: client,
			key:    o.Key,
			seeds:  o.Seeds,
			random: rand.New(rand.NewPCG(o.Seed, 1)),
		},
		planned: make(chan due, o.AtOnce),
		result:  newCollector(),
	}
}

// plan hands out the requests at the set rate.
func (r *runner) plan(started time.Time) {
	defer close(r.planned)
	for n := range r.options.Requests {
		at := started.Add(time.Duration(n) * r.options.interval())
		time.Sleep(time.Until(at))
		r.planned <- due{number: n, at: at}
	}
}

func (r *runner) loop() {
	defer r.workers.Done()
	for d := range r.planned {
		r.one(d)
	}
}

// one sends a request; its times count from when it was due.
func (r *runner) one(d due) {
	messages := r.messages(d.number)
	got, err := r.sendAnywhere(messages)
	if err == nil && r.options.CheckText && got.text != masticfake.Text(r.options.Model, messages, r.options.OutputTokens) {
		err = errNotOwn
	}
	r.result.add(d, got, time.Now(), err)
}

// messages returns the prompt of a request: a shared prefix and a part of its own.
func (r *runner) messages(number int) []masticfake.Message {
	prefix := rand.New(rand.NewPCG(r.options.Seed, uint64(number))).IntN(r.options.Prefixes)
	return []masticfake.Message{
		{Role: "system", Content: filler(fmt.Sprintf("handbook %d. ", prefix), r.options.SharedBytes)},
		{Role: "user", Content: filler(fmt.Sprintf("question %d of run %d. ", number, r.options.Seed), r.options.OwnBytes)},
	}
}

func filler(text string, size int) string {
	n := (size + len(text) - 1) / len(text)
	return strings.Repeat(text, max(n, 1))
}

// maxHosts bounds the hosts that one request tries to connect to.
const maxHosts = 4

// sendAnywhere sends a request to the next host while none can be connected to, as
// callers are told to.
func (r *runner) sendAnywhere(messages []masticfake.Message) (received, error) {
	var err error
	for range maxHosts {
		var host string
		host, err = r.directory.pick(context.Background(), time.Now())
		if err != nil {
			return received{}, err
		}
		var got received
		got, err = r.send(host, messages)
		if !isNotConnected(err) {
			return got, err
		}
		r.directory.forget(host)
		r.result.addMoved()
	}
	return received{}, err
}

// isNotConnected reports whether err says that no connection was made.
func isNotConnected(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (r *runner) send(host string, messages []masticfake.Message) (received, error) {
	ctx := context.Background()
	body, err := json.Marshal(chatRequest{
		Model:     r.options.Model,
		Messages:  messages,
		MaxTokens: r.options.OutputTokens,
		Stream:    r.options.Stream,
	})
	if err != nil {
		return received{}, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return received{}, err
	}
	q.Header.Set("Authorization", "Bearer "+r.options.Key)
	q.Header.Set("Content-Type", "application/json")
	if r.options.Profile != "" {
		q.Header.Set("Mastic-Profile", r.options.Profile)
	}
	a, err := r.client.Do(q)
	if err != nil {
		return received{}, err
	}
	defer a.Body.Close()
	return readAnswer(a, r.options.Stream)
}

func asRefusal(err error) (*refusal, bool) {
	var r *refusal
	ok := errors.As(err, &r)
	return r, ok
}
