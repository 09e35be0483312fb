package httplisten

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/internal/socket"
)

// acceptTime bounds the time in which a listener that stops empties its queue, while clients go on connecting.
const acceptTime = 250 * time.Millisecond

// listener accepts connections within a limit.
type listener struct {
	net.Listener
	limit     *Limit
	encrypted bool
}

// Accept returns the next connection. If there are too many, it closes another one for it, or this one if all others carry requests.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		now := monotonic()
		c := &conn{Conn: nc, limit: l.limit, accepted: now, encrypted: l.encrypted, awaiting: true}
		c.lastRead.Store(int64(now))
		if l.limit.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	l.limit.mu.Lock()
	delete(l.limit.listeners, l)
	l.limit.mu.Unlock()
	return l.Listener.Close()
}

// accept returns the next connection. When the server stops, it returns those that are in the queue and then closes the listener.
func (l *listener) accept() (net.Conn, error) {
	for {
		if l.limit.stopping.Load() {
			if !socket.HasQueued(l.Listener) || monotonic() >= clock.Instant(l.limit.acceptEnd.Load()) {
				return nil, errors.CombineErrors(net.ErrClosed, l.Close())
			}
			l.setDeadline(time.Now().Add(acceptTime))
		}
		nc, err := l.Listener.Accept()
		if err == nil || !l.limit.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
	}
}

// wake makes a waiting Accept find that the server stops.
func (l *listener) wake() { l.setDeadline(time.Unix(1, 0)) }

func (l *listener) setDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		// An error means that the listener is closed.
		_ = d.SetDeadline(t)
	}
}

// register records a listener until it is closed.
func (l *Limit) register(ln *listener) *listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listeners == nil {
		l.listeners = make(map[*listener]struct{})
	}
	l.listeners[ln] = struct{}{}
	return ln
}
