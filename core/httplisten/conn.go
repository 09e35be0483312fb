package httplisten

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/internal/socket"
)

// conn is one connection of a limited listener. Its state goes round: it awaits a request, whose first byte ends that; a handler gets the request
// (handled), and later has all of it (serving), until the server reports the connection as idle.
type conn struct {
	net.Conn
	limit    *Limit
	accepted clock.Instant
	// encrypted reports that the server speaks TLS on the connection.
	encrypted bool
	// serving reports that a complete request is in service, served that one has been.
	serving, served atomic.Bool
	// handled reports that a handler has got the request whose bytes were read last.
	handled  atomic.Bool
	lastRead atomic.Int64
	once     sync.Once

	mu sync.Mutex
	// awaiting reports that nothing of the next request has been read from the connection, as far as this layer knows. ending reports that the
	// connection ends when it awaits a request and none has arrived.
	awaiting, ending bool
	// kept reports that the connection has carried a request, or that its handshake is done.
	kept bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
}

// Read reads from the connection. A deadline does not end the wait for a request that has arrived: if the process was not running when it came,
// the deadline may have passed before the request could be read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readOrEnd(p, err)
	}
	if n > 0 {
		c.lastRead.Store(int64(monotonic()))
		c.setReceived()
	}
	return n, err
}

// readOrEnd returns what has arrived on a connection that waits for a request and whose read deadline has passed. If nothing has, it returns
// expired, or ends the connection if that is due.
func (c *conn) readOrEnd(p []byte, expired error) (int, error) {
	c.mu.Lock()
	awaiting, ending := c.awaiting, c.ending
	c.mu.Unlock()
	if !awaiting {
		return 0, expired
	}
	if n := socket.ReadNow(c.Conn, p); n > 0 {
		return n, nil
	}
	if !ending {
		return 0, expired
	}
	// Closed here, since a request could arrive before the server closes the connection. TLS sends its own end first.
	if !c.encrypted {
		_ = c.Close()
	}
	return 0, io.EOF
}

// setReceived records that the next request has begun to arrive.
func (c *conn) setReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting {
		return
	}
	c.awaiting = false
	// net/http sets the deadline of a head on a kept connection only when four bytes of it have arrived.
	if c.kept && c.limit.headerTime > 0 {
		c.deadline = time.Now().Add(c.limit.headerTime)
	}
	if c.kept || c.ending {
		// A failure shows at the next read.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// setActive records that the head of a request has been read, for which a buffer above may have held all bytes.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && c.ending {
		// A failure shows at the next read.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.awaiting = false
}

// setAwaiting records that the connection waits for its next request.
func (c *conn) setAwaiting() {
	c.serving.Store(false)
	c.handled.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.kept = true, true
	c.expireIfEnding()
}

// end makes the connection end when it waits for a request and none has arrived.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.ending = true
		c.expireIfEnding()
	}
}

// expireIfEnding wakes the read that waits for a request; c.mu is held.
func (c *conn) expireIfEnding() {
	if c.awaiting && c.ending {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets the deadline of reads, which does not apply while the connection ends and waits for a request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.awaiting && c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// hasUnread reports whether the first bytes of a request have arrived that nobody has read, for the bound on connections.
func (c *conn) hasUnread() bool {
	c.mu.Lock()
	awaiting := c.awaiting
	c.mu.Unlock()
	return awaiting && socket.HasUnread(c.Conn)
}

// hasUnhandled reports whether bytes of a request have arrived that no handler got, read or not, for the log of a stop. With TLS they cannot be told from its own messages.
func (c *conn) hasUnhandled() bool {
	if c.encrypted || c.handled.Load() {
		return false
	}
	c.mu.Lock()
	awaiting := c.awaiting
	c.mu.Unlock()
	return !awaiting || socket.HasUnread(c.Conn)
}

// Close closes the connection. It is counted afterwards: a request could arrive while the count of all connections is awaited.
func (c *conn) Close() error {
	unread := c.limit.stopping.Load() && c.hasUnhandled()
	err := c.Conn.Close()
	c.once.Do(func() { c.limit.remove(c, unread) })
	return err
}

// CloseWrite ends the sending side of the connection, so that the client can still read the answer.
func (c *conn) CloseWrite() error { return closeWrite(c.Conn) }
