package httplisten

import (
	"crypto/tls"
	"net"
	"sync"
)

// encryptedListener accepts connections with TLS.
type encryptedListener struct {
	net.Listener
	cfg *tls.Config
}

// Accept returns the next connection.
func (l *encryptedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &encryptedConn{Conn: tls.Server(nc, l.cfg)}, nil
}

// encryptedConn is a connection with TLS, which waits for a request again once its handshake is done.
type encryptedConn struct {
	*tls.Conn
	handshake sync.Once
}

// Read reads from the connection.
func (c *encryptedConn) Read(p []byte) (int, error) {
	c.handshake.Do(func() {
		// A read reports the failure, too.
		if c.Handshake() != nil {
			return
		}
		if lower := unwrap(c); lower != nil {
			lower.setAwaiting()
		}
	})
	return c.Conn.Read(p)
}
