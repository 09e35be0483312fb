package client

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/settings"
)

// conn is a client's connection that ends when it has been idle for too long. The limit is a deadline of the read that
// waits for the next request, so it cannot cut a request of which a byte has been read, as a close from a timer could.
type conn struct {
	net.Conn
	limit func() time.Duration

	mu   sync.Mutex
	idle bool
	// idleSince is when the last answer ended.
	idleSince time.Time
}

// Read reads from the connection; while it is idle, until its idle time is over.
func (c *conn) Read(p []byte) (int, error) {
	for {
		idle, deadline := c.idleDeadline()
		if !idle {
			return c.Conn.Read(p)
		}
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.setIdle(false)
			// The server sets a deadline of its own only once the first four bytes are there.
			return n, errors.CombineErrors(err, c.SetReadDeadline(time.Now().Add(settings.DefaultHeaderTime)))
		}
		if _, now := c.idleDeadline(); !errors.Is(err, os.ErrDeadlineExceeded) || !now.After(deadline) {
			return 0, err
		}
		// The declared idle time has grown since the read began.
	}
}

func (c *conn) idleDeadline() (idle bool, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.idleSince.Add(c.limit())
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if idle {
		c.idleSince = time.Now()
	}
}

// noteState hears of each change of a connection's state from the server.
func noteState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.setIdle(true)
	}
}

// listener makes connections that end when they have been idle for too long.
type listener struct {
	net.Listener
	limit func() time.Duration
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, limit: l.limit}, nil
}
