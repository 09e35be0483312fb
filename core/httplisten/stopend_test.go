package httplisten

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxStopTime is far above what a stop needs when nothing is on any connection: a new one has a second for its first request.
const maxStopTime = 3 * time.Second

// stopsInTime reports whether a stop ends by itself within maxStopTime.
func (s *server) stopsInTime() error {
	ctx, cancel := context.WithTimeout(context.Background(), maxStopTime)
	defer cancel()
	return s.limit.Shutdown(ctx, s.Server, time.Now())
}

// busyListener is a listener whose queue is never empty: a client connects for each connection that is accepted.
type busyListener struct {
	*net.TCPListener
}

func (l *busyListener) Accept() (net.Conn, error) {
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	// 200 connections a second.
	time.Sleep(5 * time.Millisecond)
	l.connect()
	return nc, nil
}

// connect makes a client send a request on a connection of its own.
func (l *busyListener) connect() {
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return
	}
	go func() {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
}

// TestNewConnectionsHoldUpStop guards against a listener that is open for as long as clients go on connecting. Each response of a stop closes its
// connection, so that each further request of its client is one on a new connection.
func TestNewConnectionsHoldUpStop(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	busy := &busyListener{TCPListener: ln.(*net.TCPListener)}
	busy.connect()
	go func() { _ = s.Serve(s.limit.Listen(busy, nil)) }()
	time.Sleep(100 * time.Millisecond)
	c.Assert(s.stopsInTime(), qt.IsNil)
}

// answering returns a handler that answers /wait when release is closed, with 500 if the request's context ends before, and that keeps running for
// a moment once it has answered another request.
func answering(entered chan<- struct{}, release <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/wait" {
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			return
		}
		entered <- struct{}{}
		select {
		case <-release:
		case <-req.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}

// TestStopCutsPipelinedRequest guards against ending a connection whose request is in service: it was sent together with the one before, so that
// nothing is read from the connection between them.
func TestStopCutsPipelinedRequest(t *testing.T) {
	c := qt.New(t)
	entered, release := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, &Limit{}, func(srv *http.Server) { srv.Handler = answering(entered, release) })
	cl := dial(t, s.address)
	_, err := io.WriteString(cl, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(cl.status(), qt.Equals, http.StatusOK)
	<-entered
	stopped := s.stop()
	close(release)
	c.Assert(cl.status(), qt.Equals, http.StatusOK)
	c.Assert(<-stopped, qt.IsNil)
}

// TestStopCutsEncryptedRequestThatCameEarly guards against ending a connection whose request is in service: it came when the response to the one
// before was out and its handler still ran, so that the encryption's buffer had all of it when the connection became idle.
func TestStopCutsEncryptedRequestThatCameEarly(t *testing.T) {
	c := qt.New(t)
	entered, release := make(chan struct{}, 1), make(chan struct{})
	s := startEncrypted(t, func(srv *http.Server) { srv.Handler = answering(entered, release) })
	cl := dialEncrypted(t, s.address)
	c.Assert(cl.get("/", ""), qt.Equals, http.StatusOK)
	_, err := fmt.Fprintf(cl, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-entered
	stopped := s.stop()
	close(release)
	c.Assert(cl.status(), qt.Equals, http.StatusOK)
	c.Assert(<-stopped, qt.IsNil)
}

func startEncrypted(t *testing.T, edit func(*http.Server)) *server {
	t.Helper()
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	t.Cleanup(cert.Close)
	return startServer(t, &Limit{}, func(srv *http.Server) {
		srv.TLSConfig = &tls.Config{Certificates: cert.TLS.Certificates}
		edit(srv)
	})
}

func dialEncrypted(t *testing.T, address string) *client {
	t.Helper()
	cl := dial(t, address)
	encrypted := tls.Client(cl.Conn, &tls.Config{InsecureSkipVerify: true})
	qt.Assert(t, encrypted.Handshake(), qt.IsNil)
	cl.Conn = encrypted
	cl.r.Reset(encrypted)
	return cl
}

// TestUnusedEncryptedConnectionHoldsUpStop guards against a stop that waits for the first request on an encrypted connection, whose handshake
// counts as a part of one, for as long as the header time.
func TestUnusedEncryptedConnectionHoldsUpStop(t *testing.T) {
	c := qt.New(t)
	s := startEncrypted(t, func(srv *http.Server) { srv.ReadHeaderTimeout = 2 * maxStopTime })
	_ = dialEncrypted(t, s.address)
	time.Sleep(firstRequestTime)
	c.Assert(s.stopsInTime(), qt.IsNil)
}

// TestStrayBytesHoldUpStop guards against a stop that waits for a request of which less than the server looks for has arrived: it then keeps the
// idle time, not the header time. Some clients send an empty line after a body.
func TestStrayBytesHoldUpStop(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, func(srv *http.Server) { srv.ReadHeaderTimeout, srv.IdleTimeout = 500*time.Millisecond, time.Minute })
	kept := dial(t, s.address)
	c.Assert(kept.get("/", ""), qt.Equals, http.StatusOK)
	_, err := io.WriteString(kept, "\r\n")
	c.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	c.Assert(s.stopsInTime(), qt.IsNil)
}

// TestAnswerDuringStopKeepsConnection guards against a client that sends its next request on a connection that is about to end, since the response
// did not announce it: the request came before the stop began.
func TestAnswerDuringStopKeepsConnection(t *testing.T) {
	c := qt.New(t)
	entered, release := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, &Limit{}, func(srv *http.Server) { srv.Handler = answering(entered, release) })
	cl := dial(t, s.address)
	_, err := io.WriteString(cl, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-entered
	stopped := s.stop()
	close(release)
	res, err := http.ReadResponse(cl.r, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(res.Close, qt.IsTrue)
	c.Assert(<-stopped, qt.IsNil)
}

// TestEndOfConnectionWaitsForOthers guards against a connection that stays open, so that requests arrive on it, after it was found to have none:
// its end must not wait for the count of all connections, which others hold.
func TestEndOfConnectionWaitsForOthers(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, nil)
	kept := dial(t, s.address)
	c.Assert(kept.get("/", ""), qt.Equals, http.StatusOK)
	s.limit.stopping.Store(true)
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	for conn := range s.limit.open {
		conn.end()
	}
	c.Assert(kept.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err := kept.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
}
