package httplisten

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopCount counts the connections that a stop has ended.
type stopCount struct {
	// connections are all of them, unread those on which bytes had arrived that were not read before the connection was closed.
	connections, unread int
}

// Shutdown stops srv like its own Shutdown, and logs what became of the connections. due is when the stop was to begin: a process that gets
// no processor time begins it late.
func (l *Limit) Shutdown(ctx context.Context, srv *http.Server, due time.Time) error {
	if l == nil {
		return srv.Shutdown(ctx)
	}
	late := time.Since(due)
	l.stopping.Store(true)
	open := l.Open()
	err := srv.Shutdown(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Log.Info("connections ended by the stop", "port", l.Port, "open", open, "ended", l.ended.connections, "unread", l.ended.unread,
		"late_ms", late.Milliseconds())
	return err
}

// countEnd counts a connection that is about to be closed.
func (l *Limit) countEnd(c *conn) {
	unread := c.awaiting.Load() && hasArrived(c.Conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended.connections++
	if unread {
		l.ended.unread++
		l.Scope.Tagged(map[string]string{"port": l.Port}).Counter("connections_ended_unread").Inc(1)
	}
}

// hasArrived reports whether bytes have arrived on a connection that nobody has read.
func hasArrived(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	peek := func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}
	// An error means that nothing has arrived, or that the connection has ended.
	return raw.Control(peek) == nil && err == nil && n > 0
}
