package httplisten

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/internal/socket"
)

// Times of a stop.
const (
	// firstRequestTime is how long a new connection has for its first request.
	firstRequestTime = time.Second
	// acceptTime bounds the time in which a listener that stops empties its queue, while clients go on connecting.
	acceptTime = 250 * time.Millisecond
	// stopInterval is how often a stop looks for connections that it may end.
	stopInterval = 10 * time.Millisecond
)

// stopCount counts the connections that a stop has ended. Unread are those on which bytes had arrived that no handler got.
type stopCount struct {
	connections, unread int
}

// Shutdown stops accepting connections and ends the open ones when no request is on them, until ctx ends. Unlike the server's own Shutdown it
// closes no connection on which a request has arrived that was not read yet. due is when the stop was to begin: a process that gets no
// processor time begins it late.
func (l *Limit) Shutdown(ctx context.Context, srv *http.Server, due time.Time) error {
	if l == nil {
		return srv.Shutdown(ctx)
	}
	l.stop(due)
	if err := l.awaitEnd(ctx); err != nil {
		return err
	}
	return srv.Shutdown(ctx)
}

// LogStop logs what became of the connections of a server that has stopped.
func (l *Limit) LogStop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Log.Info("connections ended by the stop", "port", l.Port, "open", l.openAtStop, "ended", l.ended.connections, "unread", l.ended.unread,
		"late_ms", l.lateStop.Milliseconds())
}

// stop makes the listener close itself when it is empty.
func (l *Limit) stop(due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping.Load() {
		return
	}
	l.openAtStop, l.lateStop = len(l.open), time.Since(due)
	l.acceptEnd.Store(int64(monotonic().Add(acceptTime)))
	l.stopping.Store(true)
	for ln := range l.listeners {
		ln.wake()
	}
}

// awaitEnd ends the connections that wait for a request until none is left.
func (l *Limit) awaitEnd(ctx context.Context) error {
	for l.endAwaiting(monotonic()) > 0 {
		if !clock.Sleep(ctx, stopInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// endAwaiting ends the connections that wait for a request, apart from new ones, and returns how many connections and listeners are left.
func (l *Limit) endAwaiting(now clock.Instant) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.served.Load() || now.Sub(c.accepted) >= firstRequestTime {
			c.end()
		}
	}
	return len(l.open) + len(l.listeners)
}

// remove forgets a connection that was closed. unread reports that bytes had arrived on it that no handler got.
func (l *Limit) remove(c *conn, unread bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if !l.stopping.Load() {
		return
	}
	l.ended.connections++
	if unread {
		l.ended.unread++
		l.Scope.Tagged(map[string]string{"port": l.Port}).Counter("connections_ended_unread").Inc(1)
	}
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
