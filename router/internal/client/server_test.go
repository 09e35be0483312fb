package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/routing"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/direct"
)

// plainDialect reads requests without header fields of their own.
type plainDialect struct{}

func (plainDialect) ReadRequest(http.Header) (call.Request, error) { return call.Request{ID: "1"}, nil }
func (plainDialect) RetryAfter(d time.Duration) string             { return d.String() }
func (plainDialect) Challenge() string                             { return "Key" }

// slowDispatcher answers after a while, or as told.
type slowDispatcher struct {
	delay  time.Duration
	result direct.Result
}

func (d *slowDispatcher) Do(ctx context.Context, r *direct.Request, sink direct.Sink) direct.Result {
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		return direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeClientGone}
	}
	if d.result.Outcome != "" {
		return d.result
	}
	if err := sink.WriteHead(http.StatusOK, http.Header{}, 2); err != nil {
		return direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeClientGone}
	}
	_ = sink.Write([]byte("ok"), false)
	return direct.Result{Outcome: peer.OutcomeDone}
}

// startServer serves one public route with the given idle time; stop ends the server and waits for it.
func startServer(t *testing.T, d Dispatcher, idle time.Duration) (s *Server, stop func()) {
	t.Helper()
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	s = &Server{
		Address: address, NoticeTime: 10 * time.Millisecond, DrainTime: 5 * time.Second,
		WriteTime:  200 * time.Millisecond,
		Dispatcher: d, Dialect: plainDialect{}, Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: tally.NoopScope,
	}
	fleet := &settings.Declarations{
		Services: map[settings.ServiceName]settings.Service{"desk": {}},
		Routes: map[settings.RouteName]settings.Route{"r": {
			Host: "desk.example", PathPrefix: "/a/", Kind: settings.RouteOnce, Timeout: 5 * time.Second, Attempts: 1,
			Public: true, Backends: []settings.Backend{{Service: "desk", Weight: 1}},
		}},
		Limits: map[settings.LimitsName]settings.ClientLimits{settings.ClientLimitsName: {IdleTime: idle}},
	}
	s.SetTable(routing.New(fleet, 1))
	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan struct{})
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, func() { close(ready) }) }()
	<-ready
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		c.Check(<-done, qt.IsNil)
	}
	t.Cleanup(stop)
	return s, stop
}

// keep opens a connection that the test keeps between requests.
func keep(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address)
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// roundTrip sends one short request on a kept connection and returns the status of the answer.
func roundTrip(conn net.Conn, r *bufio.Reader, path string) (int, error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\n\r\n", path); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// TestKeptConnectionIsNotIdleWhileItServes replays a short request on a kept connection that takes longer than the idle
// time: the answer must arrive, although the standard library still reports the connection as idle.
func TestKeptConnectionIsNotIdleWhileItServes(t *testing.T) {
	c := qt.New(t)
	const idle = 300 * time.Millisecond
	s, _ := startServer(t, &slowDispatcher{delay: 2 * idle}, idle)
	conn, r := keep(t, s)
	for range 3 {
		status, err := roundTrip(conn, r, "/a/x")
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
}

// TestStopLetsARequestOnAKeptConnectionEnd replays a stop while a kept connection serves its second request.
func TestStopLetsARequestOnAKeptConnectionEnd(t *testing.T) {
	c := qt.New(t)
	s, stop := startServer(t, &slowDispatcher{delay: 300 * time.Millisecond}, time.Minute)
	conn, r := keep(t, s)
	_, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	go func() {
		for s.open.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		stop()
	}()
	status, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(t, &slowDispatcher{}, 50*time.Millisecond)
	conn, r := keep(t, s)
	_, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	_, err = r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

func TestRefusalsSayWhatBecameOfTheRequest(t *testing.T) {
	tests := []struct {
		name   string
		result direct.Result
		status int
		retry  string
	}{
		{"not run", direct.Result{Outcome: peer.OutcomeNotRun, Code: direct.CodeOverloaded, RetryAfter: time.Second}, 503, "1s"},
		{"deadline", direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeDeadline}, 504, ""},
		{"lost", direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeLost}, 502, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, _ := startServer(t, &slowDispatcher{result: tt.result}, time.Minute)
			req, err := http.NewRequest(http.MethodGet, "http://"+s.Address+"/a/x", nil)
			c.Assert(err, qt.IsNil)
			req.Host = "desk.example"
			res, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer res.Body.Close()
			c.Assert(res.StatusCode, qt.Equals, tt.status)
			c.Assert(res.Header.Get("Retry-After"), qt.Equals, tt.retry)
		})
	}
}

// TestRefusalOnAConnectionWithAnOldAnswer replays a kept connection whose last answer is older than the time for writes:
// the refusal must still reach the client.
func TestRefusalOnAConnectionWithAnOldAnswer(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(t, &slowDispatcher{}, time.Minute)
	conn, r := keep(t, s)
	status, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
	time.Sleep(2 * s.WriteTime)
	status, err = roundTrip(conn, r, "/unknown/x")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusNotFound)
}

// TestIdleTimeDoesNotCutARequestThatIsBeingRead replays a request of which a part arrives just before the idle time is
// over and the rest after it: the server of the standard library counts the connection as idle until the head is whole.
func TestIdleTimeDoesNotCutARequestThatIsBeingRead(t *testing.T) {
	c := qt.New(t)
	const idle = 200 * time.Millisecond
	s, _ := startServer(t, &slowDispatcher{}, idle)
	conn, r := keep(t, s)
	_, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "GET /a/x HTTP/1.1\r\n")
	c.Assert(err, qt.IsNil)
	time.Sleep(2 * idle)
	_, err = io.WriteString(conn, "Host: desk.example\r\n\r\n")
	c.Assert(err, qt.IsNil)
	res, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(res.StatusCode, qt.Equals, http.StatusOK)
}

// TestIdleTimeThatGrowsHoldsForIdleConnections replays a longer idle time that is declared while a connection is idle.
func TestIdleTimeThatGrowsHoldsForIdleConnections(t *testing.T) {
	c := qt.New(t)
	const idle = 200 * time.Millisecond
	s, _ := startServer(t, &slowDispatcher{}, idle)
	conn, r := keep(t, s)
	_, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	longer := *s.table.Load()
	longer.Limits.IdleTime = time.Minute
	s.SetTable(&longer)
	time.Sleep(2 * idle)
	_, err = roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
}
