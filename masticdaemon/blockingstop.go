package masticdaemon

// actor is a component whose Run returns after Stop is called.
type actor interface {
	Run() error
	Stop(error)
}

// blockingStopActor wraps an actor so that stop returns only after run has returned.
type blockingStopActor struct {
	actor actor
	done  chan struct{}
}

func newBlockingStopActor(a actor) *blockingStopActor {
	return &blockingStopActor{actor: a, done: make(chan struct{})}
}

func (a *blockingStopActor) run() error {
	defer close(a.done)
	return a.actor.Run()
}

func (a *blockingStopActor) stop(err error) {
	a.actor.Stop(err)
	<-a.done
}
