package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// testChange returns the change that publishes the test's configuration, without backend servers.
func testChange() *masticproto.ViewChange {
	key := masticview.DigestOf([]byte(testKey))
	return &masticproto.ViewChange{
		Workspaces: []*masticproto.Workspace{{
			Name: "association", Owner: "association", RateTokensPerSecond: 1_000_000, BurstTokens: 10_000_000, Weight: 1,
		}},
		Profiles: []*masticproto.Profile{{
			Name: "association-review", Workspace: "association", Models: []string{"saw"}, Services: []string{"orders"},
			Class: "long", FirstTokenMillis: 10_000, MaxOutputTokens: 1024,
		}},
		Keys: []*masticproto.Key{{
			Id: "test", Digest: key[:], Workspace: "association", Profile: "association-review", State: "active",
		}},
		Services: []*masticproto.Service{{Name: "orders", Servers: []string{"orders-1"}}},
	}
}

// startFleet starts three hosts and publishes the test's configuration.
func startFleet(t testing.TB) ([]*process, *backends) {
	b := startBackends(t)
	fleet := newFleet(t, 3)
	for _, p := range fleet {
		p.start()
	}
	publishUntilAccepted(t, fleet, "first", b.change)
	for _, p := range fleet {
		waitServing(t, p)
	}
	return fleet, b
}

// publishUntilAccepted sends one change with the same identifier to the hosts in turn until one
// of them accepts it.
func publishUntilAccepted(t testing.TB, fleet []*process, id string, change *masticproto.ViewChange) {
	t.Helper()
	i := 0
	waitFor(t, "change "+id+" accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		i++
		_, err := fleet[i%len(fleet)].client().Publish(ctx, &masticproto.Publish{RequestId: id, Change: change})
		return err == nil
	})
}

func waitServing(t testing.TB, p *process) {
	t.Helper()
	waitFor(t, p.host+" serves", func() bool { return p.chat(testKey, "ready?").status == http.StatusOK })
}

// wantAnswer fails the test unless a is the complete answer to prompt.
func wantAnswer(c *qt.C, a answer, prompt string) {
	c.Helper()
	c.Assert(a.err, qt.IsNil)
	c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
	text, ended := streamText(a.body)
	c.Assert(ended, qt.IsTrue, qt.Commentf("%s", tail(a.body, 600)))
	c.Assert(text, qt.Equals, masticfake.Text("saw", []masticfake.Message{{Role: "user", Content: prompt}}, 24))
}

// streamText joins the chunks of a streamed answer and reports whether the answer ends with [DONE].
func streamText(body string) (string, bool) {
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), false
}

func TestFleetServesAfterOneHostIsKilled(t *testing.T) {
	c := qt.New(t)
	fleet, _ := startFleet(t)
	for i, p := range fleet {
		prompt := fmt.Sprintf("question %d", i)
		wantAnswer(c, p.chat(testKey, prompt), prompt)
	}
	a := fleet[1].chat("", "no key")
	c.Assert(a.status, qt.Equals, http.StatusUnauthorized)
	c.Assert(a.body, qt.Contains, `"notRun":true`)
	fleet[0].kill()
	for i, p := range fleet[1:] {
		prompt := fmt.Sprintf("after the kill %d", i)
		wantAnswer(c, p.chat(testKey, prompt), prompt)
	}
}

// withdrawEverywhere withdraws the key of the test and returns once a host reports that the
// withdrawal is in force. It retries while the change is committed but not yet in force everywhere.
func withdrawEverywhere(t testing.TB, p *process, id string) {
	t.Helper()
	waitFor(t, "the key withdrawn everywhere", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		published, err := p.client().WithdrawKey(ctx, id, "test")
		return err == nil && published.InForce
	})
}

func TestWithdrawnKeyIsRefusedByEveryHost(t *testing.T) {
	c := qt.New(t)
	fleet, _ := startFleet(t)
	withdrawEverywhere(t, fleet[1], "withdraw-1")
	for _, p := range fleet {
		c.Assert(p.chat(testKey, "withdrawn").status, qt.Equals, http.StatusUnauthorized)
	}
}

// orderBatch sends each order to all of its hosts, one after the other.
type orderBatch struct {
	hosts []*process
	ids   []string

	mu      sync.Mutex
	refused map[string]int
}

// run sends the orders. An order counts as refused if every host answered that it was not run.
func (b *orderBatch) run(group *sync.WaitGroup) {
	defer group.Done()
	for _, id := range b.ids {
		notRun := 0
		for _, p := range b.hosts {
			if a := p.order(id); strings.Contains(a.body, `"notRun":true`) {
				notRun++
			}
		}
		b.mu.Lock()
		if notRun == len(b.hosts) {
			b.refused[id]++
		}
		b.mu.Unlock()
	}
}

func TestLeaderKillLosesNoChangeAndRepeatsNoOrder(t *testing.T) {
	c := qt.New(t)
	fleet, backends := startFleet(t)
	leader := waitLeader(t, fleet...)
	batch := &orderBatch{refused: map[string]int{}}
	for i := range 40 {
		batch.ids = append(batch.ids, fmt.Sprintf("order-%d", i))
	}
	for _, p := range fleet {
		if p != leader {
			batch.hosts = append(batch.hosts, p)
		}
	}
	var group sync.WaitGroup
	group.Add(1)
	go batch.run(&group)
	for i := range 5 {
		publishUntilAccepted(t, batch.hosts, fmt.Sprintf("before-%d", i), profileChange(i))
	}
	leader.kill()
	for i := 5; i < 10; i++ {
		publishUntilAccepted(t, batch.hosts, fmt.Sprintf("after-%d", i), profileChange(i))
	}
	group.Wait()
	view, err := batch.hosts[0].client().View(t.Context())
	c.Assert(err, qt.IsNil)
	names := map[string]bool{}
	for _, p := range view.Profiles {
		names[p.Name] = true
	}
	for i := range 10 {
		c.Assert(names[fmt.Sprintf("profile-%d", i)], qt.IsTrue)
	}
	for _, id := range batch.ids {
		c.Assert(backends.orders.Count(id) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, backends.orders.Count(id)))
		if batch.refused[id] > 0 {
			c.Assert(backends.orders.Count(id), qt.Equals, 0, qt.Commentf("%s was reported as not run", id))
		}
	}
}

func profileChange(i int) *masticproto.ViewChange {
	return &masticproto.ViewChange{Profiles: []*masticproto.Profile{{
		Name: fmt.Sprintf("profile-%d", i), Workspace: "association", Models: []string{"saw"},
		Class: "quick", FirstTokenMillis: 1_200, MaxOutputTokens: 64,
	}}}
}

func TestStateSurvivesKillOfAllHostsAfter300Changes(t *testing.T) {
	c := qt.New(t)
	fleet, backends := startFleet(t)
	c.Assert(fleet[0].order("before").status, qt.Equals, http.StatusOK)
	for i := range 300 {
		publishUntilAccepted(t, fleet, fmt.Sprintf("change-%d", i), profileChange(i))
	}
	before, err := fleet[0].client().View(t.Context())
	c.Assert(err, qt.IsNil)
	for _, p := range fleet {
		p.kill()
	}
	for _, p := range fleet {
		p.start()
	}
	for i, p := range fleet {
		waitServing(t, p)
		prompt := fmt.Sprintf("restarted %d", i)
		wantAnswer(c, p.chat(testKey, prompt), prompt)
		after, err := p.client().View(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(after.Revision >= before.Revision, qt.IsTrue)
		c.Assert(len(after.Profiles), qt.Equals, len(before.Profiles))
	}
	again := fleet[2].order("before")
	c.Assert(again.status, qt.Equals, http.StatusOK)
	c.Assert(backends.orders.Count("before"), qt.Equals, 1)
}

// pendingCalls are requests that are sent to a frozen process and answered once it resumes.
type pendingCalls struct {
	process *process
	sent    sync.WaitGroup
	done    sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// sendPending starts count requests to p, which is frozen, and returns once all have started.
func sendPending(p *process, count int) *pendingCalls {
	w := &pendingCalls{process: p}
	w.sent.Add(count)
	w.done.Add(count)
	for range count {
		go w.run()
	}
	w.sent.Wait()
	return w
}

func (w *pendingCalls) run() {
	defer w.done.Done()
	w.sent.Done()
	a := w.process.chat(testKey, "sent while frozen")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
}

// testFrozenHost freezes one host, withdraws the key through another and resumes the first, which
// must refuse the key.
func testFrozenHost(t *testing.T, pick func(leader *process, fleet []*process) *process) {
	c := qt.New(t)
	fleet, _ := startFleet(t)
	frozen := pick(waitLeader(t, fleet...), fleet)
	var others []*process
	for _, p := range fleet {
		if p != frozen {
			others = append(others, p)
		}
	}
	frozen.freeze()
	calls := sendPending(frozen, 50)
	waitLeader(t, others...)
	withdrawEverywhere(t, others[0], "withdraw-frozen")
	frozen.signal(syscall.SIGCONT)
	calls.done.Wait()
	for _, a := range calls.answers {
		refused := a.status == http.StatusUnauthorized || a.status == http.StatusServiceUnavailable
		c.Assert(refused, qt.IsTrue, qt.Commentf("%d %.200s\n%s", a.status, a.body, tail(frozen.log.String(), 4000)))
	}
}

func TestFrozenLeaderServesNoWithdrawnKey(t *testing.T) {
	testFrozenHost(t, func(leader *process, _ []*process) *process { return leader })
}

func TestFrozenFollowerServesNoWithdrawnKey(t *testing.T) {
	testFrozenHost(t, func(leader *process, fleet []*process) *process {
		if leader == fleet[0] {
			return fleet[1]
		}
		return fleet[0]
	})
}

func TestHostWithLostDataFolderRejoinsAsLearner(t *testing.T) {
	c := qt.New(t)
	fleet, _ := startFleet(t)
	publishUntilAccepted(t, fleet, "kept", profileChange(1))
	lost := fleet[2]
	lost.kill()
	c.Assert(os.RemoveAll(lost.folder+"/data"), qt.IsNil)
	lost.start()
	rest := fleet[:2]
	waitFor(t, "the member with lost data removed", func() bool {
		return rest[0].client().RemoveMember(t.Context(), lost.host) == nil
	})
	waitFor(t, "the member with lost data a learner", func() bool {
		return rest[0].client().PutMember(t.Context(), lost.host, lost.peer, false) == nil
	})
	waitFor(t, "the member with lost data a voter", func() bool {
		return rest[1].client().PutMember(t.Context(), lost.host, lost.peer, true) == nil
	})
	rest[0].kill()
	publishUntilAccepted(t, fleet[1:], "after the repair", profileChange(2))
	view, err := lost.client().View(t.Context())
	c.Assert(err, qt.IsNil)
	names := map[string]bool{}
	for _, p := range view.Profiles {
		names[p.Name] = true
	}
	c.Assert(names["profile-1"] && names["profile-2"], qt.IsTrue)
}

// listsAddressOf reports whether the address list of p contains other.
func (p *process) listsAddressOf(other *process) bool {
	a := call(http.MethodGet, "http://"+p.listen+"/v1/addresses", testKey, "")
	return a.status == http.StatusOK && strings.Contains(a.body, `"`+other.listen+`"`)
}

func TestDeadHostIsNotListedUntilItRestarts(t *testing.T) {
	fleet, _ := startFleet(t)
	dead := fleet[0]
	waitFor(t, "all hosts listed", func() bool { return fleet[1].listsAddressOf(dead) && fleet[2].listsAddressOf(dead) })
	dead.kill()
	waitFor(t, "the dead host not listed", func() bool { return !fleet[1].listsAddressOf(dead) && !fleet[2].listsAddressOf(dead) })
	dead.start()
	waitFor(t, "the host listed again", func() bool {
		return fleet[1].listsAddressOf(dead) && fleet[2].listsAddressOf(dead) && dead.listsAddressOf(dead)
	})
}
