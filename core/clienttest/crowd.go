package clienttest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// dialTimeout bounds the dial of one connection of a crowd. A server that is full may leave it unanswered.
const dialTimeout = 2 * time.Second

// receiveBufferBytes keeps the kernel from taking the answers that the clients of a crowd do not read.
const receiveBufferBytes = 4 << 10

// Crowd is a set of clients that do the same. Each keeps its connection until the crowd is closed, and reads nothing.
type Crowd struct {
	sent sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// Start starts n clients of the server at an address. They go when the test ends, if not before.
func Start(t testing.TB, n int, address string, m Misuse) *Crowd {
	t.Helper()
	c := &Crowd{}
	t.Cleanup(c.Close)
	for range n {
		c.sent.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(receiveBufferBytes)
			}
			if !c.add(conn) {
				return
			}
			// A server may refuse such a client or close its connection, so an error is no failure.
			_ = m(conn)
		})
	}
	return c
}

// add keeps a connection until the crowd is closed; it returns false if it has been.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// Wait waits until all clients have sent what they send, or up to the limit for those that the server lets wait.
func (c *Crowd) Wait(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		c.sent.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sent.Wait()
}
