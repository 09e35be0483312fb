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
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/routing"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
	"rattantrack.dev/router/internal/direct"
)

// plainDialect ignores the header fields of requests.
type plainDialect struct{}

func (plainDialect) ReadRequest(http.Header) (call.Request, error) { return call.Request{ID: "1"}, nil }
func (plainDialect) RetryAfter(d time.Duration) string             { return d.String() }
func (plainDialect) Challenge() string                             { return "Key" }

// slowDispatcher responds after a delay, with the given result if there is one.
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

// startServer starts a server with one public route and the given idle time; stop stops it and waits for its end.
func startServer(t *testing.T, d Dispatcher, idle time.Duration) (s *Server, stop func()) {
	t.Helper()
	return startLimitedServer(t, d, settings.ClientLimits{IdleTime: idle}, 0)
}

// startLimitedServer is startServer with all limits on clients, and one on the memory of all requests.
func startLimitedServer(t *testing.T, d Dispatcher, limits settings.ClientLimits, memory int64) (s *Server, stop func()) {
	t.Helper()
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	s = &Server{
		Address: address, NoticeTime: 10 * time.Millisecond, DrainTime: 5 * time.Second,
		WriteTime:  200 * time.Millisecond,
		Dispatcher: d, Shutdown: &shutdown.Tracker{}, Dialect: plainDialect{}, Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: tally.NoopScope,
		Memory: &memorybudget.Budget{Limit: memory},
	}
	declarations := &settings.Declarations{
		Services: map[settings.ServiceName]settings.Service{"desk": {}},
		Routes: map[settings.RouteName]settings.Route{"r": {
			Host: "desk.example", PathPrefix: "/a/", Kind: settings.RouteOnce, Timeout: 5 * time.Second, Attempts: 1,
			Public: true, Backends: []settings.Backend{{Service: "desk", Weight: 1}},
		}},
		Limits: map[settings.LimitsName]settings.ClientLimits{settings.ClientLimitsName: limits},
	}
	s.SetTable(routing.New(declarations, 1))
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

// dial opens a connection that the test uses for several requests.
func dial(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address)
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// roundTrip sends one short request on the connection and returns the status of the response.
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

// TestReusedConnectionIsNotIdleWhileServing guards against closing a reused connection during a request that takes longer
// than the idle time. net/http still reports the connection as idle then.
func TestReusedConnectionIsNotIdleWhileServing(t *testing.T) {
	c := qt.New(t)
	const idle = 300 * time.Millisecond
	s, _ := startServer(t, &slowDispatcher{delay: 2 * idle}, idle)
	conn, r := dial(t, s)
	for range 3 {
		status, err := roundTrip(conn, r, "/a/x")
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
}

// TestStopCompletesRequestOnReusedConnection stops the server while a reused connection serves its second request.
func TestStopCompletesRequestOnReusedConnection(t *testing.T) {
	c := qt.New(t)
	s, stop := startServer(t, &slowDispatcher{delay: 300 * time.Millisecond}, time.Minute)
	conn, r := dial(t, s)
	_, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	go func() {
		for s.openRequests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		stop()
	}()
	status, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
}

// endedDispatcher works until the router ends the request, and has an unknown outcome then.
type endedDispatcher struct{}

func (endedDispatcher) Do(ctx context.Context, _ *direct.Request, _ direct.Sink) direct.Result {
	<-ctx.Done()
	var ended *shutdown.EndedError
	if errors.As(context.Cause(ctx), &ended) {
		return direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeStopping}
	}
	return direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeClientGone}
}

// TestRequestIsCutAtTheEndOfTheStop guards against a request that outlasts the stop and whose client gets no answer.
func TestRequestIsCutAtTheEndOfTheStop(t *testing.T) {
	c := qt.New(t)
	s, stop := startServer(t, endedDispatcher{}, time.Minute)
	s.DrainTime = 500 * time.Millisecond
	conn, r := dial(t, s)
	go func() {
		for s.openRequests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		stop()
	}()
	status, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusBadGateway)
}

// TestResponseDuringStopKeepsConnection guards against a client that sends its next request on a connection that is about to end, since the
// response did not announce it: the request came before the stop began.
func TestResponseDuringStopKeepsConnection(t *testing.T) {
	results := map[string]direct.Result{"answered": {}, "refused": {Outcome: peer.OutcomeNotRun, Code: "overloaded"}}
	for name, result := range results {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, stop := startServer(t, &slowDispatcher{delay: 200 * time.Millisecond, result: result}, time.Minute)
			conn, r := dial(t, s)
			_, err := io.WriteString(conn, "GET /a/ HTTP/1.1\r\nHost: desk.example\r\n\r\n")
			c.Assert(err, qt.IsNil)
			time.Sleep(100 * time.Millisecond)
			s.NoticeTime = time.Second
			go stop()
			res, err := http.ReadResponse(r, nil)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Close, qt.IsTrue)
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(t, &slowDispatcher{}, 50*time.Millisecond)
	conn, r := dial(t, s)
	_, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	_, err = r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

func TestFailureResponses(t *testing.T) {
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

// TestRefusalAfterExpiredWriteDeadline guards against a refusal lost on a reused connection because the write deadline of
// the previous response has passed.
func TestRefusalAfterExpiredWriteDeadline(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(t, &slowDispatcher{}, time.Minute)
	conn, r := dial(t, s)
	status, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
	time.Sleep(2 * s.WriteTime)
	status, err = roundTrip(conn, r, "/unknown/x")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusNotFound)
}

// TestIdleTimeDoesNotCutPartialRequest guards against closing a connection on which one part of a request arrives before
// the idle time ends and the rest after it. net/http reports the connection as idle until the head is complete.
func TestIdleTimeDoesNotCutPartialRequest(t *testing.T) {
	c := qt.New(t)
	const idle = 200 * time.Millisecond
	s, _ := startServer(t, &slowDispatcher{}, idle)
	conn, r := dial(t, s)
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

// TestLongerIdleTimeAppliesToIdleConnections declares a longer idle time while a connection is idle.
func TestLongerIdleTimeAppliesToIdleConnections(t *testing.T) {
	c := qt.New(t)
	const idle = 200 * time.Millisecond
	s, _ := startServer(t, &slowDispatcher{}, idle)
	conn, r := dial(t, s)
	_, err := roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
	longer := *s.table.Load()
	longer.Limits.IdleTime = time.Minute
	s.SetTable(&longer)
	time.Sleep(2 * idle)
	_, err = roundTrip(conn, r, "/a/x")
	c.Assert(err, qt.IsNil)
}
