package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
)

// killerText in a prompt ends the engine that runs it.
const killerText = "a tooth of glass"

// startKillable starts a fleet whose four engines end when they run killerText.
func startKillable(t *testing.T) ([]*process, []*masticfake.Engine) {
	b := &backends{change: testChange()}
	for i := range 4 {
		name := fmt.Sprintf("engine-%d", i+1)
		e := masticfake.NewEngine(name, masticfake.WithModel("saw", "1"), masticfake.WithSpeed(0, 100),
			masticfake.WithOutput(24), masticfake.WithKiller(killerText))
		b.engines = append(b.engines, e)
		b.serve(t, name, e, "engine")
	}
	b.orders = masticfake.NewService("orders")
	b.serve(t, "orders-1", b.orders, "service")
	fleet := newFleet(t, 3)
	for _, p := range fleet {
		p.start()
	}
	publishUntilAccepted(t, fleet, "first", b.change)
	for _, p := range fleet {
		waitServing(t, p)
	}
	return fleet, b.engines
}

// bystander asks one host and checks that its answer is whole.
type bystander struct {
	process *process
	prompt  string
	answer  answer
	done    *sync.WaitGroup
}

func (b *bystander) run() {
	defer b.done.Done()
	b.answer = b.process.chat(testKey, b.prompt)
}

// ends returns how many incarnations of engines have ended.
func ends(engines []*masticfake.Engine) int {
	total := 0
	for _, e := range engines {
		name := e.Incarnation()
		number, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
		total += number - 1
	}
	return total
}

func TestRequestThatEndsEveryServerIsQuarantinedOverAllHosts(t *testing.T) {
	c := qt.New(t)
	fleet, engines := startKillable(t)
	var done sync.WaitGroup
	var others []*bystander
	for i := range 12 {
		b := &bystander{process: fleet[i%3], prompt: fmt.Sprintf("bystander %d", i), done: &done}
		others = append(others, b)
		done.Add(1)
		go b.run()
	}
	first := fleet[0].chat(testKey, killerText)
	c.Assert(first.status, qt.Not(qt.Equals), http.StatusOK)
	for _, p := range fleet {
		waitFor(t, "the quarantine at "+p.host, func() bool {
			view, err := p.client().View(t.Context())
			return err == nil && len(view.Quarantines) == 1
		})
	}
	for range 5 {
		for _, p := range fleet {
			a := p.chat(testKey, killerText)
			c.Assert(a.status, qt.Equals, http.StatusUnprocessableEntity)
			c.Assert(a.body, qt.Contains, `"kind":"quarantined"`)
			c.Assert(a.body, qt.Contains, `"notRun":true`)
		}
	}
	done.Wait()
	for _, b := range others {
		wantAnswer(c, b.answer, b.prompt)
	}
	c.Assert(ends(engines) <= 2, qt.IsTrue, qt.Commentf("%d incarnations ended", ends(engines)))
}
