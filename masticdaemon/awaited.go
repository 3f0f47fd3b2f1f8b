package masticdaemon

// actor is a part that runs until it is stopped.
type actor interface {
	Run() error
	Stop(error)
}

// awaited is an actor whose stop returns only once its run has.
type awaited struct {
	actor actor
	done  chan struct{}
}

func newAwaited(a actor) *awaited { return &awaited{actor: a, done: make(chan struct{})} }

func (a *awaited) run() error {
	defer close(a.done)
	return a.actor.Run()
}

func (a *awaited) stop(err error) {
	a.actor.Stop(err)
	<-a.done
}
