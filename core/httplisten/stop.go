package httplisten

import (
	"context"
	"net/http"
	"time"

	"rattantrack.dev/core/clock"
)

// Times of a stop.
const (
	// firstRequestTime is how long a new connection has for its first request.
	firstRequestTime = time.Second
	// stopInterval is how often a stop looks for connections that it may end.
	stopInterval = 10 * time.Millisecond
)

// stopCount is what a stop has done so far.
type stopCount struct {
	// open is the number of connections when it began, and late how long after it was due that was.
	open int
	late time.Duration
	// ended are the connections that have ended since, unread those of them on which bytes had arrived that no handler got.
	ended, unread int
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
	l.Log.Info("connections ended by the stop", "port", l.Port, "open", l.stopped.open, "ended", l.stopped.ended, "unread", l.stopped.unread,
		"late_ms", l.stopped.late.Milliseconds())
}

// stop makes the listener close itself when it is empty.
func (l *Limit) stop(due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping.Load() {
		return
	}
	l.stopped.open, l.stopped.late = len(l.open), time.Since(due)
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
	l.stopped.ended++
	if unread {
		l.stopped.unread++
		l.Scope.Tagged(map[string]string{"port": l.Port}).Counter("connections_ended_unread").Inc(1)
	}
}
