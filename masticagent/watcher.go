package masticagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticladder/masticproto"
)

// watcher keeps a stream of view updates from a control host, the leader where it is known.
type watcher struct {
	agent *Agent

	mutex   sync.Mutex
	wanted  string
	next    int
	address string
	cancel  context.CancelFunc
}

// newWatcher returns a watcher that begins at a host drawn by lot.
func newWatcher(a *Agent) *watcher { return &watcher{agent: a, next: rand.IntN(len(a.peers))} }

func (w *watcher) run(ctx context.Context) {
	defer w.agent.running.Done()
	for ctx.Err() == nil {
		err := w.watch(ctx)
		w.agent.log.WithError(err).Debug("the watch of the view ended")
		sleep(ctx, w.agent.retryPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// watch follows one control host until its stream ends.
func (w *watcher) watch(ctx context.Context) error {
	ctx, address := w.begin(ctx)
	defer w.end()
	client, err := w.agent.leader.client(address)
	if err != nil {
		return err
	}
	stream, err := client.Stream(ctx, &masticproto.PeerRequest{
		Mode: masticproto.PeerMode_PEER_STREAM,
		Kind: &masticproto.PeerRequest_Watch{Watch: &masticproto.WatchRequest{
			Host:     w.agent.host,
			Revision: w.agent.View().Revision(),
		}},
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		answer, err := stream.Next()
		if err != nil {
			return err
		}
		if err := w.agent.views.updates.Offer(answer.GetView()); err != nil {
			return err
		}
	}
}

// begin chooses the host: the preferred one, and after its failure the others in turn.
func (w *watcher) begin(ctx context.Context) (context.Context, string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.address = w.wanted
	if w.address == "" {
		peers := w.agent.leader.peers()
		w.address = peers[w.next%len(peers)]
		w.next++
	}
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.address
}

func (w *watcher) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancel()
	w.cancel = nil
	if w.wanted == w.address {
		w.wanted = ""
	}
}

// prefer moves the watch to the host at address, unless watches are spread.
func (w *watcher) prefer(address string) {
	if w.agent.lazy {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.wanted = address
	if w.cancel != nil && w.address != address {
		w.cancel()
	}
}

// again ends the stream, so that the next one begins at this host's revision.
func (w *watcher) again() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}
