package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Listener is the service that accepts links for an endpoint and closes unused ones.
type Listener struct {
	Address  string
	Endpoint *Endpoint
	// IdleTimeout is how long an unused link stays open.
	IdleTimeout time.Duration
}

// String returns the service's name.
func (l *Listener) String() string { return "listener" }

// Run accepts links until ctx ends and then ends all links in order.
func (l *Listener) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", l.Address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", l.Address)
	}
	defer l.Endpoint.Shutdown()
	stop := l.closeIdle(ctx)
	defer stop()
	ready()
	return l.Endpoint.Listen(ctx, ln)
}

// closeIdle closes idle links at intervals until ctx ends. The returned function waits for that.
func (l *Listener) closeIdle(ctx context.Context) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(l.IdleTimeout / 2)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				l.Endpoint.CloseIdle(l.IdleTimeout)
			}
		}
	}()
	return func() { <-done }
}
