package httplisten

import (
	"fmt"
	"net"
	"net/http"
)

// FieldsError reports a request with too many header fields.
type FieldsError struct {
	Limit int
}

func (e *FieldsError) Error() string { return fmt.Sprintf("more than %d header fields", e.Limit) }

// fieldsListener accepts connections that fail to be read when a request has too many header fields. A field takes much more memory than its
// bytes, and net/http bounds only these.
type fieldsListener struct {
	net.Listener
	limit int
}

// Accept returns the next connection.
func (l *fieldsListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &fieldsConn{Conn: nc, limit: l.limit}, nil
}

// fieldsConn counts the lines of each head.
type fieldsConn struct {
	net.Conn
	limit int
	// lines are those of the head so far. emptyLine reports that nothing but a carriage return follows the last line feed, and ended that the
	// head has ended.
	lines            int
	emptyLine, ended bool
}

// NetConn returns the connection below.
func (c *fieldsConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side of the connection.
func (c *fieldsConn) CloseWrite() error { return closeWrite(c.Conn) }

// Read reads from the connection.
func (c *fieldsConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.countLines(p[:n]) > c.limit+1 {
		return 0, &FieldsError{Limit: c.limit}
	}
	return n, err
}

// countLines returns the number of lines of the head, with the request line.
func (c *fieldsConn) countLines(p []byte) int {
	for _, b := range p {
		if c.ended {
			break
		}
		switch b {
		case '\n':
			if c.emptyLine {
				c.ended = true
				break
			}
			c.emptyLine = true
			c.lines++
		case '\r':
		default:
			c.emptyLine = false
		}
	}
	return c.lines
}

// beginHead prepares for the head of the next request.
func (c *fieldsConn) beginHead() { c.lines, c.emptyLine, c.ended = 0, false, false }

// onFieldsState tells a connection below that its next request begins.
func onFieldsState(nc net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if c, ok := layer[*fieldsConn](nc); ok {
		c.beginHead()
	}
}

func closeWrite(nc net.Conn) error {
	if half, ok := nc.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
