package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout bounds the wait for the rest of a request whose answer has ended with the connection.
const writeTimeout = 2500 * time.Millisecond

// UnfinishedWriteError reports a connection that ended while the request was still being written or after that had failed.
type UnfinishedWriteError struct {
	// Cause is the error of the write, nil if it has not ended.
	Cause error
}

func (e *UnfinishedWriteError) Error() string {
	if e.Cause == nil {
		return "the connection ended while the request was being written"
	}
	return "the connection ended after writing the request failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnfinishedWriteError) Unwrap() error { return e.Cause }

// requestWrite is the write of one request. err is valid once done is closed.
type requestWrite struct {
	once sync.Once
	done chan struct{}
	err  error
}

func (w *requestWrite) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// upstreamConn is a connection whose end is an error unless the request is written. The kernel reports a reset once, so that a write may
// have consumed the report and the reader sees the end alone.
type upstreamConn struct {
	net.Conn
	mu    sync.Mutex
	write *requestWrite
}

// dialUpstream connects to the upstream. It is the DialContext of a transport.
func dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: conn}, nil
}

// begin begins the write of a request.
func (c *upstreamConn) begin() *requestWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = &requestWrite{done: make(chan struct{})}
	return c.write
}

func (c *upstreamConn) currentWrite() *requestWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write
}

// Read reads from the connection. It waits at the end until the request is written, since an upstream may answer before it has read it.
func (c *upstreamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	w := c.currentWrite()
	if w == nil || !errors.Is(err, io.EOF) {
		return n, err
	}
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		if w.err != nil {
			return n, &UnfinishedWriteError{Cause: w.err}
		}
		return n, err
	case <-timer.C:
		return n, &UnfinishedWriteError{}
	}
}
