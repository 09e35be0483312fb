package peer

import (
	"fmt"
	"net"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/connections"
	"rattantrack.dev/core/internal/socket"
)

// TooManyError reports a connection for which no other one could be closed.
type TooManyError struct {
	Limit int
}

func (e *TooManyError) Error() string { return fmt.Sprintf("more than %d connections", e.Limit) }

// acceptedConn is an accepted connection, with its link once the other end has said who it is.
type acceptedConn struct {
	since clock.Instant
	// greeted reports that the other end has said who it is.
	greeted bool
	link    *Link
}

// admit counts an accepted connection, and closes another one if there are too many. It returns false if none could be closed.
func (e *Endpoint) admit(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.MaxAccepted > 0 && len(e.accepted) >= e.MaxAccepted {
		victim := e.victim()
		if victim == nil {
			return false
		}
		delete(e.accepted, victim)
		_ = victim.Close()
	}
	if e.accepted == nil {
		e.accepted = make(map[net.Conn]*acceptedConn)
	}
	e.accepted[conn] = &acceptedConn{since: clock.Instant(monotonic())}
	return true
}

// victim returns the accepted connection to close: one that has not said who it is, or else the link that has been idle for longest; nil
// if all have open streams or bytes that were not read. The caller must hold e.mu.
func (e *Endpoint) victim() net.Conn {
	var strangers, links candidates
	for conn, a := range e.accepted {
		if !a.greeted {
			strangers.add(conn, connections.Connection{LastRead: a.since})
			continue
		}
		if a.link == nil {
			links.add(conn, connections.Connection{Served: true, LastRead: a.since})
			continue
		}
		links.add(conn, connections.Connection{
			Serving: a.link.OpenStreams() > 0, Served: true, LastRead: clock.Instant(a.link.lastReceived.Load()),
		})
	}
	if victim := strangers.victim(); victim != nil {
		return victim
	}
	return links.victim()
}

// candidates are connections of which one may be closed.
type candidates struct {
	conns []net.Conn
	known []connections.Connection
}

func (c *candidates) add(conn net.Conn, known connections.Connection) {
	c.conns, c.known = append(c.conns, conn), append(c.known, known)
}

func (c *candidates) victim() net.Conn {
	for {
		i := connections.Victim(clock.Instant(monotonic()), c.known)
		if i < 0 {
			return nil
		}
		if !c.known[i].Served || !socket.HasUnread(c.conns[i]) {
			return c.conns[i]
		}
		c.known[i].Serving = true
	}
}

// greeted records that the other end of an accepted connection has said who it is.
func (e *Endpoint) greeted(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.accepted[conn]; a != nil {
		a.greeted = true
	}
}

// established records the link of an accepted connection until it ends.
func (e *Endpoint) established(conn net.Conn, l *Link) {
	e.mu.Lock()
	if a := e.accepted[conn]; a != nil {
		a.link = l
	}
	e.mu.Unlock()
	l.onEnd(func() { e.forget(conn) })
}

// forget ends the count of an accepted connection.
func (e *Endpoint) forget(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.accepted, conn)
}
