package httplisten

import (
	"net"
	"net/http"

	"rattantrack.dev/core/httphead"
)

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
	return &fieldsConn{Conn: nc, fields: httphead.Fields{Limit: l.limit}}, nil
}

// fieldsConn counts the header fields of each head.
type fieldsConn struct {
	net.Conn
	fields httphead.Fields
}

// NetConn returns the connection below.
func (c *fieldsConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side of the connection.
func (c *fieldsConn) CloseWrite() error { return closeWrite(c.Conn) }

// Read reads from the connection.
func (c *fieldsConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if fieldsErr := c.fields.Read(p[:n]); fieldsErr != nil {
		return 0, fieldsErr
	}
	return n, err
}

// onFieldsState tells a connection below that its next request begins.
func onFieldsState(nc net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if c, ok := layer[*fieldsConn](nc); ok {
		c.fields.Begin()
	}
}

func closeWrite(nc net.Conn) error {
	if half, ok := nc.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
