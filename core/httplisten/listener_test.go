package httplisten

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// serve starts a server with a limit and returns its address. A request to /wait is answered when release is closed; entered gets a value
// when it has been received.
func serve(t *testing.T, l *Limit) (address string, entered, release chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Log, l.Scope = log.New(io.Discard), tally.NoopScope
	entered, release = make(chan struct{}, 1), make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		Serving(req.Context())
		if req.URL.Path == "/wait" {
			entered <- struct{}{}
			<-release
		}
	})}
	l.Apply(srv)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l.Listen(ln, nil))
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return ln.Addr().String(), entered, release
}

// client is one connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &client{Conn: conn, r: bufio.NewReader(conn)}
}

// get sends a request with extra header fields and returns the status of the response, 0 if the connection ends.
func (c *client) get(path, fields string) int {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, fields); err != nil {
		return 0
	}
	return c.status()
}

func (c *client) status() int {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// awaitOpen waits until the limit counts n connections.
func awaitOpen(t *testing.T, l *Limit, n int) {
	t.Helper()
	for range 1000 {
		if l.Open() == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d connections are open, not %d", l.Open(), n)
}

func TestUnusedConnectionsKeepNewOneOut(t *testing.T) {
	l := &Limit{Port: "test", Connections: 2}
	address, _, _ := serve(t, l)
	first := dial(t, address)
	awaitOpen(t, l, 1)
	_ = dial(t, address)
	awaitOpen(t, l, 2)
	c := qt.New(t)
	c.Assert(dial(t, address).get("/", ""), qt.Equals, http.StatusOK)
	c.Assert(first.status(), qt.Equals, 0)
	c.Assert(l.Open(), qt.Equals, 2)
}

// TestUnfinishedBodyKeepsNewOneOut guards against taking a request for received while its body is not.
func TestUnfinishedBodyKeepsNewOneOut(t *testing.T) {
	l := &Limit{Port: "test", Connections: 1}
	address, _, _ := serve(t, l)
	stalled := dial(t, address)
	_, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nxxx")
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	awaitOpen(t, l, 1)
	c.Assert(dial(t, address).get("/", ""), qt.Equals, http.StatusOK)
}

func TestConnectionInServiceIsClosedForNewOne(t *testing.T) {
	l := &Limit{Port: "test", Connections: 1}
	address, entered, release := serve(t, l)
	busy := dial(t, address)
	answered := make(chan int, 1)
	go func() { answered <- busy.get("/wait", "") }()
	<-entered
	c := qt.New(t)
	c.Assert(dial(t, address).get("/", ""), qt.Equals, 0)
	close(release)
	c.Assert(<-answered, qt.Equals, http.StatusOK)
	awaitIdle(t, l, 1)
	c.Assert(dial(t, address).get("/", ""), qt.Equals, http.StatusOK)
}

// TestEndedConnectionsUseUpLimit guards against a count that only grows.
func TestEndedConnectionsUseUpLimit(t *testing.T) {
	l := &Limit{Port: "test", Connections: 3}
	address, _, _ := serve(t, l)
	for range 20 {
		cl := dial(t, address)
		qt.Assert(t, cl.get("/", ""), qt.Equals, http.StatusOK)
		qt.Assert(t, cl.Close(), qt.IsNil)
	}
	awaitOpen(t, l, 0)
}

func TestManyHeaderFieldsAreRead(t *testing.T) {
	const limit = 8
	l := &Limit{Port: "test", HeaderFields: limit}
	address, _, _ := serve(t, l)
	c := qt.New(t)
	// The Host field counts, too.
	allowed, tooMany := strings.Repeat("a: b\r\n", limit-1), strings.Repeat("a: b\r\n", limit)
	cl := dial(t, address)
	for range 3 {
		c.Assert(cl.get("/", allowed), qt.Equals, http.StatusOK)
	}
	c.Assert(cl.get("/", tooMany) == http.StatusOK, qt.IsFalse)
	c.Assert(dial(t, address).get("/", tooMany) == http.StatusOK, qt.IsFalse)
}

// TestLinesOfBodyCountAsHeaderFields guards against ending the connection of a request whose body has many lines.
func TestLinesOfBodyCountAsHeaderFields(t *testing.T) {
	l := &Limit{Port: "test", HeaderFields: 8}
	address, _, _ := serve(t, l)
	cl := dial(t, address)
	body := strings.Repeat("\r\n", 5000) + strings.Repeat("x\n", 5000)
	for range 2 {
		_, err := fmt.Fprintf(cl, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, cl.status(), qt.Equals, http.StatusOK)
	}
}
