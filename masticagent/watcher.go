package masticagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticladder/masticproto"
)

// watcher keeps a stream of view updates open from a control host: the preferred one, else each
// in turn.
type watcher struct {
	agent *Agent

	mutex     sync.Mutex
	preferred string
	nextPeer  int
	address   string
	cancel    context.CancelFunc
}

// newWatcher returns a watcher that starts at a random control host.
func newWatcher(a *Agent) *watcher { return &watcher{agent: a, nextPeer: rand.IntN(len(a.peers))} }

func (w *watcher) run(ctx context.Context) {
	defer w.agent.running.Done()
	for ctx.Err() == nil {
		err := w.watch(ctx)
		w.agent.log.WithError(err).Debug("view stream ended")
		sleep(ctx, w.agent.retryDelay)
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

// watch receives updates from one control host until the stream ends.
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

			SuspectDifferences: true,
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

// begin chooses the host: the preferred one or, when none is set or it has failed, the next peer.
func (w *watcher) begin(ctx context.Context) (context.Context, string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.address = w.preferred
	if w.address == "" {
		peers := w.agent.leader.peers()
		w.address = peers[w.nextPeer%len(peers)]
		w.nextPeer++
	}
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.address
}

func (w *watcher) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancel()
	w.cancel = nil
	if w.preferred == w.address {
		w.preferred = ""
	}
}

// prefer moves the stream to the host at address. With lazy acknowledgement it does nothing,
// since streams are then spread over the control hosts.
func (w *watcher) prefer(address string) {
	if w.agent.lazyAcknowledgement {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.preferred = address
	if w.cancel != nil && w.address != address {
		w.cancel()
	}
}

// leave ends the stream if it is from the control host at address, so that the next one is from another host.
func (w *watcher) leave(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.preferred == address {
		w.preferred = ""
	}
	if w.cancel != nil && w.address == address {
		w.cancel()
	}
}

// restart ends the stream, so that the next one starts at this host's revision.
func (w *watcher) restart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}
