package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/sides"
)

const bodyLimit = 1 << 20

// dispatcherFunc is a Dispatcher without tickets.
type dispatcherFunc func(ctx context.Context, c *sides.Call, sink sides.Sink) sides.Result

func (f dispatcherFunc) Do(ctx context.Context, c *sides.Call, sink sides.Sink) sides.Result {
	return f(ctx, c, sink)
}

func (f dispatcherFunc) IssueTicket(context.Context, settings.ProfileName, settings.Profile) (*peer.TicketIssued, error) {
	return nil, nil
}

// answer answers a call.
func answer(_ context.Context, _ *sides.Call, sink sides.Sink) sides.Result {
	_ = sink.WriteHead(http.StatusOK, nil, "s")
	_ = sink.Write([]byte("ok"), false)
	return sides.Result{Outcome: peer.OutcomeDone}
}

func waitUntilGone(ctx context.Context, _ *sides.Call, _ sides.Sink) sides.Result {
	<-ctx.Done()
	return sides.Result{Outcome: peer.OutcomeUnknown, Code: sides.CodeCallerGone}
}

func fail(context.Context, *sides.Call, sides.Sink) sides.Result { panic(http.ErrAbortHandler) }

// fixedView has one plain profile and one of a model.
type fixedView struct{}

func (fixedView) Declarations() (*settings.Declarations, settings.Revision) {
	return &settings.Declarations{
		Profiles: map[settings.ProfileName]settings.Profile{
			"status": {Service: "desk", Deadline: time.Minute, Idempotent: true},
			"answer": {Service: "letters", Deadline: time.Minute, Idempotent: true},
		},
		Services: map[settings.ServiceName]settings.Service{
			"desk": {Kind: settings.KindPlain}, "letters": {Kind: settings.KindModel},
		},
		Teams: map[settings.TeamID]settings.Team{"parents": {Share: 1, MaxOpen: 10}},
	}, 1
}

// startServer starts a server whose calls go to d; stop stops it and waits for its end.
func startServer(t *testing.T, d Dispatcher) (s *Server, stop func()) {
	t.Helper()
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	cfg := settings.Router{Caller: address, NoticeTime: 10 * time.Millisecond, DrainTime: 400 * time.Millisecond}
	cfg.Limits.BodyBytes, cfg.Limits.BodyTime = bodyLimit, time.Second
	cfg.SetDefaults()
	s = &Server{
		Config: cfg, Dispatcher: d, View: fixedView{}, Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: tally.NoopScope,
		Memory: &memorybudget.Budget{Limit: 8 * bodyLimit},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan struct{}), make(chan error, 1)
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

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Config.Caller)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return conn
}

// awaitMemory waits until calls hold any memory, or none.
func awaitMemory(t *testing.T, s *Server, held bool) {
	t.Helper()
	for range 1000 {
		if used := s.Memory.Status().Used; used > 0 == held {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("calls hold %d bytes", s.Memory.Status().Used)
}

// head returns the head of a call with a body that is announced to have n bytes, or has chunks if n is negative.
func head(path string, n int64) string {
	framing := fmt.Sprintf("Content-Length: %d", n)
	if n < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: router\r\nRattantrack-Team: parents\r\n" + framing + "\r\n\r\n"
}

const (
	callPath        = "/v1/services/status/trips"
	completionsPath = "/v1/chat/completions"
)

// TestEndedCallKeepsItsMemory guards against a bound on memory that closes for good.
func TestEndedCallKeepsItsMemory(t *testing.T) {
	body := strings.Repeat("x", bodyLimit)
	chat := `{"model":"answer","messages":[{"role":"user","content":"` + strings.Repeat("x", bodyLimit/2) + `"}]}`
	tests := []struct {
		name     string
		dispatch dispatcherFunc
		sent     string
		// leaves makes the caller go while the call holds memory.
		leaves bool
		status int
	}{
		{name: "answered", dispatch: answer, sent: head(callPath, bodyLimit) + body, status: http.StatusOK},
		{name: "answered chat", dispatch: answer, sent: head(completionsPath, int64(len(chat))) + chat, status: http.StatusOK},
		{name: "malformed chat", sent: head(completionsPath, bodyLimit) + body, status: http.StatusBadRequest},
		{name: "announced too large", sent: head(callPath, bodyLimit+1), status: http.StatusRequestEntityTooLarge},
		{name: "sent too large", sent: head(callPath, -1) + fmt.Sprintf("%x\r\n%sx\r\n", bodyLimit+1, body), status: http.StatusRequestEntityTooLarge},
		{name: "unknown profile", sent: head("/v1/services/none/x", bodyLimit) + body[1:], status: http.StatusNotFound},
		{name: "stalled", sent: head(callPath, bodyLimit) + body[1:], status: http.StatusRequestTimeout},
		{name: "stalled chat", sent: head(completionsPath, bodyLimit) + body[1:], status: http.StatusRequestTimeout},
		{name: "caller gone before the end of its body", sent: head(callPath, bodyLimit) + body[1:], leaves: true},
		{name: "caller gone while its call is served", dispatch: waitUntilGone, sent: head(callPath, bodyLimit) + body, leaves: true},
		{name: "panic", dispatch: fail, sent: head(callPath, bodyLimit) + body},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := startServer(t, tt.dispatch)
			conn := dial(t, s)
			go func() { _, _ = io.WriteString(conn, tt.sent) }()
			if tt.leaves {
				awaitMemory(t, s, true)
				qt.Assert(t, conn.Close(), qt.IsNil)
			} else {
				status := 0
				if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					status = res.StatusCode
				}
				qt.Check(t, status, qt.Equals, tt.status)
			}
			awaitMemory(t, s, false)
		})
	}
}

// TestStopKeepsMemory guards against the same where the server stops under a call.
func TestStopKeepsMemory(t *testing.T) {
	s, stop := startServer(t, dispatcherFunc(waitUntilGone))
	conn := dial(t, s)
	_, err := io.WriteString(conn, head(callPath, bodyLimit)+strings.Repeat("x", bodyLimit))
	qt.Assert(t, err, qt.IsNil)
	awaitMemory(t, s, true)
	stop()
	awaitMemory(t, s, false)
}

// TestCallerThatReadsNoAnswerIsAwaitedForever guards against a write that never ends.
func TestCallerThatReadsNoAnswerIsAwaitedForever(t *testing.T) {
	written := make(chan error, 1)
	s, _ := startServer(t, dispatcherFunc(func(_ context.Context, _ *sides.Call, sink sides.Sink) sides.Result {
		_ = sink.WriteHead(http.StatusOK, nil, "s")
		var err error
		for err == nil {
			err = sink.Write(make([]byte, bodyLimit), true)
		}
		written <- err
		return sides.Result{Outcome: peer.OutcomeUnknown, Code: sides.CodeCallerGone}
	}))
	_, err := io.WriteString(dial(t, s), head(callPath, 1)+"x")
	qt.Assert(t, err, qt.IsNil)
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("the answer is still being written")
	}
}

// TestListOfMessagesTakesFarMoreMemoryThanBody guards against a value for each message of a chat.
func TestListOfMessagesTakesFarMoreMemoryThanBody(t *testing.T) {
	body := []byte(`{"model":"answer","messages":[0` + strings.Repeat(",0", bodyLimit/2) + `]}`)
	app := iris.New()
	ctx := app.ContextPool.Acquire(discardWriter{}, &http.Request{Header: http.Header{}})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	chatID(ctx, body)
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	qt.Assert(t, allocated < uint64(3*len(body)), qt.IsTrue, qt.Commentf("%d bytes for a body of %d", allocated, len(body)))
}

// discardWriter is a response that nobody gets.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
