package masticevents

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcache"
	"masticladder/masticproto"
	"masticladder/masticshard"
	"masticladder/masticview"
)

// ip returns the address of the host or engine with an index.
func ip(network, index int) string {
	return fmt.Sprintf("10.%d.%d.%d", network, index/250, index%250+1)
}

// viewOf returns a view of entry hosts and engines with a store, all with events if maxInFlight is above zero.
func viewOf(c *qt.C, hosts, engines int, maxInFlight int64) masticview.View {
	change := &masticproto.ViewChange{Document: &masticproto.Document{Number: 1, Pools: []*masticproto.Pool{
		{Name: "pool", Engine: true, MaxInFlight: maxInFlight}, {Name: "keep", Store: "10.0.9.9:80", MaxInFlight: maxInFlight},
	}}}
	for i := range hosts {
		change.Hosts = append(change.Hosts, masticview.Host{
			Name: fmt.Sprint("h", i), Peer: ip(1, i) + ":1", Address: ip(1, i) + ":80", Zone: "z", Weight: 1, State: masticview.HostLive,
		}.ToProto())
	}
	for i := range engines {
		change.Servers = append(change.Servers, masticview.Server{
			Name: fmt.Sprint("e", i), Kind: masticview.ServerEngine, URL: "http://" + ip(2, i) + ":80", Models: []string{"m"}, Service: "pool", State: masticview.ServerActive,
		}.ToProto())
	}
	v, err := masticview.View{}.Apply(change, time.UnixMilli(0))
	c.Assert(err, qt.IsNil)
	return v
}

// readersOf returns the hosts that read each server.
func readersOf(v masticview.View, hosts int) map[string][]string {
	shards := masticshard.New(v.Hosts(), v.Servers(), nil)
	out := map[string][]string{}
	for i := range hosts {
		for name := range assigned(fmt.Sprint("h", i), v, shards) {
			out[name] = append(out[name], fmt.Sprint("h", i))
		}
	}
	return out
}

// TestOneHostReadsEachServer guards against servers that nobody reads, and against more calls than one to an
// engine. A host that ends moves only the servers that it read.
func TestOneHostReadsEachServer(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{1, 27, 60} {
		all := readersOf(viewOf(c, hosts, 89, 4), hosts)
		c.Assert(all, qt.HasLen, 90)
		for name, readers := range all {
			c.Assert(name == "10.0.9.9:80" || len(readers) == 1, qt.IsTrue, qt.Commentf("%s: %v", name, readers))
		}
	}
	before, after := readersOf(viewOf(c, 27, 89, 4), 27), readersOf(viewOf(c, 26, 89, 4), 26)
	for name, readers := range before {
		c.Assert(readers[0] == "h26" || readers[0] == after[name][0], qt.IsTrue)
	}
	c.Assert(readersOf(viewOf(c, 27, 89, 0), 27), qt.HasLen, 0)
}

// fakeSource gives one event a call, and the errors that are set.
type fakeSource struct {
	mutex sync.Mutex
	calls map[string][]time.Time
	err   error
}

func (f *fakeSource) CacheEvents(_ context.Context, s Server, since uint64, wait time.Duration) (Page, error) {
	time.Sleep(10 * time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls[s.Name] = append(f.calls[s.Name], time.Now())
	return Page{BootEpoch: 1, Next: since + 1, Events: []Event{eventOf(since)}}, f.err
}

type fakeSink struct {
	mutex  sync.Mutex
	events map[string]int
}

func (f *fakeSink) PartEvents(server string, _ bool, events []masticcache.PartEvent) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.events[server] += len(events)
}

// TestReadersBoundTheirCalls checks the rate of calls to a server with events at all times, with no room, and
// without the call.
func TestReadersBoundTheirCalls(t *testing.T) {
	for err, want := range map[error]int{nil: 34, ErrBusy: 5, ErrUnsupported: 1} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			v := viewOf(c, 1, 2, 1)
			source, sink := &fakeSource{calls: map[string][]time.Time{}, err: err}, &fakeSink{events: map[string]int{}}
			r := New("h0", func() masticview.View { return v }, source, sink, log)
			run := &runner{readers: r, done: make(chan struct{})}
			go run.run()
			time.Sleep(assignInterval + 10*time.Second)
			r.Stop(nil)
			<-run.done
			c.Assert(source.calls, qt.HasLen, 3)
			for name, calls := range source.calls {
				c.Assert(len(calls) >= want-1 && len(calls) <= want, qt.IsTrue, qt.Commentf("%s: %d", name, len(calls)))
				if err == nil {
					c.Assert(sink.events[name] >= want-1, qt.IsTrue)
				}
			}
		})
	}
}

type runner struct {
	readers *Readers
	done    chan struct{}
}

func (r *runner) run() {
	defer close(r.done)
	_ = r.readers.Run()
}
