package kernel

import (
	"context"
	"sync"
)

// Split returns two services for s. The first one runs s and counts as ready at once; the second one is ready when s is. Services that are added
// between the two start without waiting for s, and stop before it.
func Split(s Service) (runs, waits Service) {
	e := &early{Service: s, ready: make(chan struct{}), ended: make(chan struct{})}
	return e, &awaited{early: e}
}

// early runs a service and counts as ready before it is.
type early struct {
	Service
	once  sync.Once
	ready chan struct{}
	// ended is closed when the service has returned err.
	ended chan struct{}
	err   error
}

// Run runs the service until ctx ends.
func (e *early) Run(ctx context.Context, ready func()) error {
	ready()
	defer close(e.ended)
	e.err = e.Service.Run(ctx, func() { e.once.Do(func() { close(e.ready) }) })
	return e.err
}

// awaited is ready when an early service is.
type awaited struct {
	*early
}

// String returns the name of the service, which differs from that of the early one.
func (a *awaited) String() string { return a.early.String() + " ready" }

// Run waits until the early service is ready, and then until ctx ends. It returns if that service ends before it is ready.
func (a *awaited) Run(ctx context.Context, ready func()) error {
	select {
	case <-a.ready:
		ready()
	case <-a.ended:
		return a.err
	case <-ctx.Done():
		return nil
	}
	<-ctx.Done()
	return nil
}
