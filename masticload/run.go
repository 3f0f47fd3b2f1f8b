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

// runner executes one run.
type runner struct {
	options   Options
	client    *http.Client
	directory *directory
	// dueRequests is the queue of requests for the workers. It is bounded, so that a system
	// that is too slow delays further requests and is not flooded.
	dueRequests chan dueRequest
	workers     sync.WaitGroup
	collector   *collector
}

// dueRequest is one request and the time at which it is due.
type dueRequest struct {
	number int
	at     time.Time
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string               `json:"model"`
	Messages  []masticfake.Message `json:"messages"`
	MaxTokens int                  `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
}

// Run sends the requests and returns a report. It returns an error if the options are
// invalid or no host list can be fetched; failed requests are part of the report.
func Run(o Options) (Report, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
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
	r.scheduleRequests(started)
	r.workers.Wait()
	return r.collector.report(time.Since(started)), nil
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
		dueRequests: make(chan dueRequest, o.AtOnce),
		collector:   newCollector(),
	}
}

// scheduleRequests queues the requests at the configured rate.
func (r *runner) scheduleRequests(started time.Time) {
	defer close(r.dueRequests)
	for n := range r.options.Requests {
		at := started.Add(time.Duration(n) * r.options.requestInterval())
		time.Sleep(time.Until(at))
		r.dueRequests <- dueRequest{number: n, at: at}
	}
}

func (r *runner) loop() {
	defer r.workers.Done()
	for d := range r.dueRequests {
		r.execute(d)
	}
}

// execute sends one request and records the result.
func (r *runner) execute(d dueRequest) {
	messages := r.messages(d.number)
	answer, err := r.sendWithFailover(messages)
	if err == nil && r.options.CheckText && answer.text != masticfake.Text(r.options.Model, messages, r.options.OutputTokens) {
		err = errWrongRequest
	}
	r.collector.add(d, answer, time.Now(), err)
}

// messages returns the prompt of a request: a shared prefix and a unique question.
func (r *runner) messages(number int) []masticfake.Message {
	prefix := rand.New(rand.NewPCG(r.options.Seed, uint64(number))).IntN(r.options.Prefixes)
	return []masticfake.Message{
		{Role: "system", Content: repeatToSize(fmt.Sprintf("handbook %d. ", prefix), r.options.SharedBytes)},
		{Role: "user", Content: repeatToSize(fmt.Sprintf("question %d of run %d. ", number, r.options.Seed), r.options.OwnBytes)},
	}
}

func repeatToSize(text string, size int) string {
	n := (size + len(text) - 1) / len(text)
	return strings.Repeat(text, max(n, 1))
}

// maxConnectAttempts is the maximum number of hosts that one request tries to connect to.
const maxConnectAttempts = 4

// sendWithFailover sends a request to a host of the list and, if the connection cannot be
// made, to another one, as callers are documented to do.
func (r *runner) sendWithFailover(messages []masticfake.Message) (chatAnswer, error) {
	var err error
	for range maxConnectAttempts {
		var host string
		host, err = r.directory.pick(context.Background(), time.Now())
		if err != nil {
			return chatAnswer{}, err
		}
		var answer chatAnswer
		answer, err = r.send(host, messages)
		if !isDialError(err) {
			return answer, err
		}
		r.directory.remove(host)
		r.collector.addMoved()
	}
	return chatAnswer{}, err
}

// isDialError reports whether err means that no connection was made.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (r *runner) send(host string, messages []masticfake.Message) (chatAnswer, error) {
	ctx := context.Background()
	body, err := json.Marshal(chatRequest{
		Model:     r.options.Model,
		Messages:  messages,
		MaxTokens: r.options.OutputTokens,
		Stream:    r.options.Stream,
	})
	if err != nil {
		return chatAnswer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return chatAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+r.options.Key)
	request.Header.Set("Content-Type", "application/json")
	if r.options.Profile != "" {
		request.Header.Set("Mastic-Profile", r.options.Profile)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return chatAnswer{}, err
	}
	defer response.Body.Close()
	return readAnswer(response, r.options.Stream)
}

func asRefusal(err error) (*refusal, bool) {
	var r *refusal
	ok := errors.As(err, &r)
	return r, ok
}
