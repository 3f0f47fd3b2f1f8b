package masticevents

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"masticladder/masticcache"
	"masticladder/masticshard"
	"masticladder/masticview"
)

const (
	// assignInterval is the time between two divisions of the servers among the hosts.
	assignInterval = 500 * time.Millisecond
	// callWait is how long a call waits for events. Servers charge a call that waits for less than 200 ms
	// like a health probe.
	callWait = time.Second
	// callTimeout bounds a call.
	callTimeout = 3 * time.Second
	// minCallInterval is the least time between two calls to one server, so that one call brings many
	// events, and intervalPerReader that for each server that the host reads: a call costs some 150
	// microseconds, so that all of them cost less than a hundredth of a core.
	minCallInterval   = 300 * time.Millisecond
	intervalPerReader = 20 * time.Millisecond
	// failureDelay is the time after a failed call, busyDelay that after one which the server had no room
	// for, and unsupportedDelay that after one that it does not know.
	failureDelay     = time.Second
	busyDelay        = 2 * time.Second
	unsupportedDelay = time.Minute
)

// ErrBusy means that the server holds as many calls as it takes, ErrUnsupported that it has no such call.
var (
	ErrBusy        = errors.New("the server takes no more calls for cache events")
	ErrUnsupported = errors.New("the server has no cache events")
)

// Source makes calls.
type Source interface {
	// CacheEvents returns the events from a number on. It waits for some for at most the given time.
	CacheEvents(ctx context.Context, s Server, since uint64, wait time.Duration) (Page, error)
}

// Sink receives events.
type Sink interface {
	PartEvents(server string, reset bool, events []masticcache.PartEvent)
}

// Readers read the events of the servers that are assigned to this host.
type Readers struct {
	host   string
	view   func() masticview.View
	source Source
	sink   Sink
	log    logrus.FieldLogger
	shards *masticshard.Map
	// revision is that of the view by which the servers were last divided.
	revision uint64
	readers  map[string]*reader
	// running is the number of readers.
	running atomic.Int64
	group   sync.WaitGroup
	stop    chan struct{}
	// calls, failures, events, malformed, lost and resets count calls, those that failed, events, events that could not be
	// decoded, pages with a gap and restarts of servers.
	calls, failures, events, malformed, lost, resets metrics.Counter
}

// New returns the readers of the named host.
func New(host string, view func() masticview.View, source Source, sink Sink, log logrus.FieldLogger) *Readers {
	return &Readers{
		host: host, view: view, source: source, sink: sink, log: log, readers: map[string]*reader{}, stop: make(chan struct{}),
		calls: metrics.NewCounter(), failures: metrics.NewCounter(), events: metrics.NewCounter(), malformed: metrics.NewCounter(), lost: metrics.NewCounter(), resets: metrics.NewCounter(),
	}
}

// Register adds the counters to r.
func (r *Readers) Register(registry metrics.Registry) error {
	for name, c := range map[string]metrics.Counter{
		"events.calls": r.calls, "events.failures": r.failures, "events.read": r.events, "events.malformed": r.malformed, "events.lost": r.lost, "events.restarts": r.resets,
	} {
		if err := registry.Register(name, c); err != nil {
			return err
		}
	}
	return nil
}

// Run reads until Stop.
func (r *Readers) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer r.group.Wait()
	defer cancel()
	timer := time.NewTicker(assignInterval)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return nil
		case <-timer.C:
			r.assign(ctx)
		}
	}
}

// Stop makes Run return; its argument is ignored. It must be called only once.
func (r *Readers) Stop(error) { close(r.stop) }

// assign starts and ends readers by the newest view. With 450 hosts and 5,400 engines a division takes
// 27 ms, so that it is made for changed views only.
func (r *Readers) assign(ctx context.Context) {
	v := r.view()
	if v.Revision() == r.revision {
		return
	}
	r.revision = v.Revision()
	r.shards = masticshard.New(v.Hosts(), v.Servers(), r.shards)
	want := assigned(r.host, v, r.shards)
	for name, running := range r.readers {
		if want[name] != running.server {
			running.cancel()
			delete(r.readers, name)
		}
	}
	r.running.Store(int64(len(want)))
	for name, s := range want {
		if r.readers[name] != nil {
			continue
		}
		own, cancel := context.WithCancel(ctx)
		x := &reader{readers: r, server: s, cancel: cancel}
		r.readers[name] = x
		r.group.Add(1)
		go x.loop(own)
	}
}

// reader reads the events of one server.
type reader struct {
	readers *Readers
	server  Server
	cancel  context.CancelFunc
	cursor  Cursor
}

func (x *reader) loop(ctx context.Context) {
	defer x.readers.group.Done()
	for ctx.Err() == nil {
		select {
		case <-time.After(x.call(ctx)):
		case <-ctx.Done():
		}
	}
}

// call makes one call and returns the time until the next.
func (x *reader) call(ctx context.Context) time.Duration {
	began := time.Now()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x.readers.calls.Inc(1)
	page, err := x.readers.source.CacheEvents(bounded, x.server, x.cursor.Since(), callWait)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		x.readers.failures.Inc(1)
		return delayAfter(err)
	}
	x.apply(page)
	return max(0, x.readers.callInterval()-time.Since(began))
}

// callInterval returns the least time between two calls to one server.
func (r *Readers) callInterval() time.Duration {
	return max(minCallInterval, time.Duration(r.running.Load())*intervalPerReader)
}

func delayAfter(err error) time.Duration {
	switch {
	case errors.Is(err, ErrUnsupported):
		return unsupportedDelay
	case errors.Is(err, ErrBusy):
		return busyDelay
	default:
		return failureDelay
	}
}

func (x *reader) apply(page Page) {
	r := x.readers
	since := x.cursor.Since()
	next, batch := x.cursor.WithPage(page)
	x.cursor = next
	r.events.Inc(int64(len(batch.Events)))
	r.malformed.Inc(int64(page.Malformed))
	if page.Lost {
		r.lost.Inc(1)
	}
	if batch.Reset {
		r.resets.Inc(1)
		r.log.WithField("server", x.server.Name).WithField("since", since).WithField("bootEpoch", page.BootEpoch).Info("cache of a restarted server is empty")
	}
	if batch.Reset || len(batch.Events) > 0 {
		r.sink.PartEvents(x.server.Name, batch.Reset, batch.Events)
	}
}
