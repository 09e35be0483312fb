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

// idleConn is a client connection with an idle timeout. The timeout is the deadline of the read that waits for the next
// request. A timer that closes the connection could cut off a request that has been read in part; the deadline cannot.
type idleConn struct {
	net.Conn
	idleTime func() time.Duration

	mu   sync.Mutex
	idle bool
	// idleSince is when the last response ended.
	idleSince time.Time
}

// Read reads from the connection. While the connection is idle, the read fails when the idle timeout has passed.
func (c *idleConn) Read(p []byte) (int, error) {
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
			// net/http sets its own deadline only when the first four bytes have arrived.
			return n, errors.CombineErrors(err, c.SetReadDeadline(time.Now().Add(settings.DefaultHeaderTime)))
		}
		if _, newDeadline := c.idleDeadline(); !errors.Is(err, os.ErrDeadlineExceeded) || !newDeadline.After(deadline) {
			return 0, err
		}
		// The declared idle time has grown since the read began, so the read continues.
	}
}

// NetConn returns the connection below.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side of the connection, so that the client can still read the answer to a request that was not read to its end.
func (c *idleConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *idleConn) idleDeadline() (idle bool, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.idleSince.Add(c.idleTime())
}

func (c *idleConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if idle {
		c.idleSince = time.Now()
	}
}

// onConnState marks connections that the server reports as idle.
func onConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*idleConn); ok && state == http.StateIdle {
		c.setIdle(true)
	}
}

// idleListener accepts connections with an idle timeout.
type idleListener struct {
	net.Listener
	idleTime func() time.Duration
}

// Accept returns the next connection.
func (l *idleListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: nc, idleTime: l.idleTime}, nil
}
