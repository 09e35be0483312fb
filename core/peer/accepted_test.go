package peer

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// strangerConn returns a connection whose other end says nothing.
func strangerConn(t *testing.T) net.Conn {
	t.Helper()
	conn, other := net.Pipe()
	t.Cleanup(func() {
		_ = conn.Close()
		_ = other.Close()
	})
	return conn
}

// TestLinkWithUnreadStreamIsClosedForNewOne guards against taking a link for idle by what has been read.
func TestLinkWithUnreadStreamIsClosedForNewOne(t *testing.T) {
	c := qt.New(t)
	dialler, acceptor := linkPair(t)
	e := newEndpoint(t, nil, loopback)
	e.MaxAccepted = 1
	c.Assert(e.admit(acceptor.conn), qt.IsTrue)
	e.greeted(acceptor.conn)
	e.established(acceptor.conn, acceptor)
	s, err := dialler.Open(context.Background(), &Submit{})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	time.Sleep(50 * time.Millisecond)
	c.Assert(e.admit(strangerConn(t)), qt.IsFalse)
}

// TestLinkIsClosedForNewOneBeforeItIsRecorded guards against taking a connection for a stranger after the handshake.
func TestLinkIsClosedForNewOneBeforeItIsRecorded(t *testing.T) {
	c := qt.New(t)
	_, acceptor := linkPair(t)
	e := newEndpoint(t, nil, loopback)
	e.MaxAccepted = 2
	c.Assert(e.admit(acceptor.conn), qt.IsTrue)
	e.greeted(acceptor.conn)
	stranger := strangerConn(t)
	c.Assert(e.admit(stranger), qt.IsTrue)
	c.Assert(e.admit(strangerConn(t)), qt.IsTrue)
	_, isOpen := e.accepted[acceptor.conn]
	c.Assert(isOpen, qt.IsTrue)
	_, isOpen = e.accepted[stranger]
	c.Assert(isOpen, qt.IsFalse)
}
