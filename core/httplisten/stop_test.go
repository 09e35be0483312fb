package httplisten

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"rattantrack.dev/core/internal/socket"
)

// pause stands for times in which a process does not run: nothing is accepted or read, while connections and bytes arrive.
type pause struct {
	mu     sync.Mutex
	paused chan struct{}
}

func (p *pause) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = make(chan struct{})
}

func (p *pause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.paused)
	p.paused = nil
}

func (p *pause) wait() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

type pausingListener struct {
	*net.TCPListener
	pause *pause
}

func (l *pausingListener) Accept() (net.Conn, error) {
	l.pause.wait()
	nc, err := l.AcceptTCP()
	if err != nil {
		l.pause.wait()
		return nil, err
	}
	return &pausingConn{TCPConn: nc, pause: l.pause}, nil
}

// pausingConn is read in two steps, like a connection of the network poller: the wait for bytes may end in a pause.
type pausingConn struct {
	*net.TCPConn
	pause *pause
}

func (c *pausingConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(uintptr) bool { return socket.HasUnread(c.TCPConn) || hasEnded(c.TCPConn) })
	c.pause.wait()
	if waitErr != nil {
		return 0, waitErr
	}
	return c.TCPConn.Read(p)
}

// server is a server with a limit that can be paused.
type server struct {
	*http.Server
	t       *testing.T
	limit   *Limit
	pause   pause
	address string
}

func startServer(t *testing.T, l *Limit, edit func(*http.Server)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Port, l.Log, l.Scope = "test", log.New(io.Discard), tally.NoopScope
	s := &server{Server: &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, t: t, limit: l}
	s.address = ln.Addr().String()
	if edit != nil {
		edit(s.Server)
	}
	l.Apply(s.Server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l.Listen(&pausingListener{TCPListener: ln.(*net.TCPListener), pause: &s.pause}, s.TLSConfig))
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s
}

// stop begins a stop, and returns a channel with its result.
func (s *server) stop() <-chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped <- s.limit.Shutdown(ctx, s.Server, time.Now())
	}()
	// Long enough for the stop to end what it takes for idle.
	time.Sleep(100 * time.Millisecond)
	return stopped
}

// send sends a request without waiting for the response.
func (c *client) send() {
	_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
}

func TestStopClosesConnectionWithUnreadRequest(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, nil)
	kept := dial(t, s.address)
	c.Assert(kept.get("/", ""), qt.Equals, http.StatusOK)
	s.pause.begin()
	kept.send()
	stopped := s.stop()
	s.pause.end()
	c.Assert(kept.status(), qt.Equals, http.StatusOK)
	c.Assert(<-stopped, qt.IsNil)
}

func TestStopClosesEncryptedConnectionWithUnreadRequest(t *testing.T) {
	c := qt.New(t)
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	defer cert.Close()
	s := startServer(t, &Limit{}, func(srv *http.Server) { srv.TLSConfig = &tls.Config{Certificates: cert.TLS.Certificates} })
	kept := dial(t, s.address)
	encrypted := tls.Client(kept.Conn, &tls.Config{InsecureSkipVerify: true})
	kept.Conn = encrypted
	kept.r.Reset(encrypted)
	c.Assert(kept.get("/", ""), qt.Equals, http.StatusOK)
	s.pause.begin()
	kept.send()
	stopped := s.stop()
	s.pause.end()
	c.Assert(kept.status(), qt.Equals, http.StatusOK)
	c.Assert(<-stopped, qt.IsNil)
}

func TestStopDropsConnectionsInAcceptQueue(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, nil)
	s.pause.begin()
	// The listener may have accepted one already.
	queued := []*client{dial(t, s.address), dial(t, s.address), dial(t, s.address)}
	for _, cl := range queued {
		cl.send()
	}
	stopped := s.stop()
	s.pause.end()
	for _, cl := range queued {
		c.Assert(cl.status(), qt.Equals, http.StatusOK)
	}
	c.Assert(<-stopped, qt.IsNil)
	_, err := net.Dial("tcp", s.address)
	c.Assert(err, qt.IsNotNil)
}

// TestStopClosesNewConnectionBeforeItsFirstRequest guards against closing a connection whose client has had no time to send its request.
func TestStopClosesNewConnectionBeforeItsFirstRequest(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, nil)
	fresh := dial(t, s.address)
	awaitOpen(t, s.limit, 1)
	stopped := s.stop()
	c.Assert(fresh.get("/", ""), qt.Equals, http.StatusOK)
	c.Assert(<-stopped, qt.IsNil)
}

// TestIdleConnectionsHoldUpStop guards against a stop that waits for the clients to end connections that they do not use.
func TestIdleConnectionsHoldUpStop(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, nil)
	kept, unused := dial(t, s.address), dial(t, s.address)
	c.Assert(kept.get("/", ""), qt.Equals, http.StatusOK)
	awaitOpen(t, s.limit, 2)
	stopped := s.stop()
	c.Assert(kept.status(), qt.Equals, 0)
	c.Assert(<-stopped, qt.IsNil)
	c.Assert(unused.status(), qt.Equals, 0)
}

// TestRequestInPartsHoldsUpStop guards against awaiting a request that was received in part for longer than the header time.
func TestRequestInPartsHoldsUpStop(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, func(srv *http.Server) { srv.ReadHeaderTimeout = 500 * time.Millisecond })
	partly := dial(t, s.address)
	c.Assert(partly.get("/", ""), qt.Equals, http.StatusOK)
	s.pause.begin()
	_, err := io.WriteString(partly, "GET / HTTP/1.1\r\n")
	c.Assert(err, qt.IsNil)
	stopped := s.stop()
	s.pause.end()
	c.Assert(<-stopped, qt.IsNil)
	c.Assert(partly.status(), qt.Equals, 0)
}

func TestIdleTimeoutClosesConnectionWithUnreadRequest(t *testing.T) {
	c := qt.New(t)
	const idleTime = 50 * time.Millisecond
	s := startServer(t, &Limit{}, func(srv *http.Server) { srv.IdleTimeout = idleTime })
	kept := dial(t, s.address)
	c.Assert(kept.get("/", ""), qt.Equals, http.StatusOK)
	s.pause.begin()
	kept.send()
	time.Sleep(2 * idleTime)
	s.pause.end()
	c.Assert(kept.status(), qt.Equals, http.StatusOK)
	c.Assert(kept.status(), qt.Equals, 0)
}

func TestConnectionWithUnreadRequestIsClosedForNewOne(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{Connections: 2}, nil)
	first, second := dial(t, s.address), dial(t, s.address)
	c.Assert(first.get("/", ""), qt.Equals, http.StatusOK)
	c.Assert(second.get("/", ""), qt.Equals, http.StatusOK)
	awaitIdle(t, s.limit, 2)
	s.pause.begin()
	first.send()
	c.Assert(hasArrivedSoon(s.limit), qt.IsTrue)
	s.limit.add(&conn{Conn: &net.TCPConn{}, limit: s.limit})
	s.pause.end()
	c.Assert(first.status(), qt.Equals, http.StatusOK)
	c.Assert(second.status(), qt.Equals, 0)
}

// awaitIdle waits until n connections wait for a request. A client may have its response before the server counts the connection as idle.
func awaitIdle(t *testing.T, l *Limit, n int) {
	t.Helper()
	for range 1000 {
		if l.countIdle() == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d connections wait for a request, not %d", l.countIdle(), n)
}

func (l *Limit) countIdle() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.mu.Lock()
		if c.awaiting {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// hasArrivedSoon waits until bytes have arrived on one of the open connections.
func hasArrivedSoon(l *Limit) bool {
	for range 1000 {
		l.mu.Lock()
		for c := range l.open {
			if c.hasUnread() {
				l.mu.Unlock()
				return true
			}
		}
		l.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	return false
}

// hasEnded reports whether the other end has closed a connection.
func hasEnded(nc net.Conn) (ended bool) {
	socket.Control(nc, func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != unix.EAGAIN
	})
	return ended
}
