package client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/direct"
)

const bodyLimit = 1 << 20

// dispatcherFunc is a Dispatcher.
type dispatcherFunc func(ctx context.Context, r *direct.Request, sink direct.Sink) direct.Result

func (f dispatcherFunc) Do(ctx context.Context, r *direct.Request, sink direct.Sink) direct.Result {
	return f(ctx, r, sink)
}

// answer answers a request.
func answer(_ context.Context, _ *direct.Request, sink direct.Sink) direct.Result {
	if err := sink.WriteHead(http.StatusOK, http.Header{}, 2); err != nil {
		return direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeClientGone}
	}
	_ = sink.Write([]byte("ok"), false)
	return direct.Result{Outcome: peer.OutcomeDone}
}

// waitUntilGone waits until the client has gone or the server ends the request.
func waitUntilGone(ctx context.Context, _ *direct.Request, _ direct.Sink) direct.Result {
	<-ctx.Done()
	return direct.Result{Outcome: peer.OutcomeUnknown, Code: direct.CodeClientGone}
}

func fail(context.Context, *direct.Request, direct.Sink) direct.Result { panic(http.ErrAbortHandler) }

// awaitMemory waits until requests hold any memory, or none.
func awaitMemory(t *testing.T, s *Server, held bool) {
	t.Helper()
	for range 1000 {
		if used := s.Memory.Status().Used; used > 0 == held {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("requests hold %d bytes", s.Memory.Status().Used)
}

// head returns the head of a request with a body that is announced to have n bytes, or has chunks if n is negative.
func head(path string, n int64) string {
	framing := fmt.Sprintf("Content-Length: %d", n)
	if n < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + framing + "\r\n\r\n"
}

// TestEndedRequestKeepsItsMemory guards against a bound on memory that closes for good.
func TestEndedRequestKeepsItsMemory(t *testing.T) {
	body := strings.Repeat("x", bodyLimit)
	tests := []struct {
		name     string
		dispatch dispatcherFunc
		sent     string
		// leaves makes the client go while the request holds memory.
		leaves bool
		status int
	}{
		{name: "answered", dispatch: answer, sent: head("/a/", bodyLimit) + body, status: http.StatusOK},
		{name: "chunked", dispatch: answer, sent: head("/a/", -1) + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyLimit, body), status: http.StatusOK},
		{name: "announced too large", sent: head("/a/", bodyLimit+1), status: http.StatusRequestEntityTooLarge},
		{name: "sent too large", sent: head("/a/", -1) + fmt.Sprintf("%x\r\n%sx\r\n", bodyLimit+1, body), status: http.StatusRequestEntityTooLarge},
		{name: "unknown route", sent: head("/b/", bodyLimit) + body[1:], status: http.StatusNotFound},
		{name: "malformed chunk", sent: head("/a/", -1) + "10\r\nxxxx", leaves: true},
		{name: "stalled", sent: head("/a/", bodyLimit) + body[1:], status: http.StatusRequestTimeout},
		{name: "client gone before the end of its body", sent: head("/a/", bodyLimit) + body[1:], leaves: true},
		{name: "client gone while its request is served", dispatch: waitUntilGone, sent: head("/a/", bodyLimit) + body, leaves: true},
		{name: "panic", dispatch: fail, sent: head("/a/", bodyLimit) + body},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := startLimitedServer(t, tt.dispatch, settings.ClientLimits{IdleTime: time.Second, BodyBytes: bodyLimit}, 8*bodyLimit)
			conn, r := dial(t, s)
			go func() { _, _ = io.WriteString(conn, tt.sent) }()
			if tt.leaves {
				awaitMemory(t, s, true)
				qt.Assert(t, conn.Close(), qt.IsNil)
			} else {
				status := 0
				if res, err := http.ReadResponse(r, nil); err == nil {
					status = res.StatusCode
				}
				qt.Check(t, status, qt.Equals, tt.status)
			}
			awaitMemory(t, s, false)
		})
	}
}

// TestStopKeepsMemory guards against the same where the server stops under a request.
func TestStopKeepsMemory(t *testing.T) {
	s, stop := startLimitedServer(t, dispatcherFunc(waitUntilGone), settings.ClientLimits{IdleTime: time.Second, BodyBytes: bodyLimit}, 8*bodyLimit)
	s.DrainTime = 400 * time.Millisecond
	conn, _ := dial(t, s)
	_, err := io.WriteString(conn, head("/a/", bodyLimit)+strings.Repeat("x", bodyLimit))
	qt.Assert(t, err, qt.IsNil)
	awaitMemory(t, s, true)
	stop()
	awaitMemory(t, s, false)
}

// TestStalledBodiesKeepOrdinaryOnesOut guards against refusing clients that send their requests because of others that do not.
func TestStalledBodiesKeepOrdinaryOnesOut(t *testing.T) {
	c := qt.New(t)
	s, _ := startLimitedServer(t, dispatcherFunc(answer), settings.ClientLimits{IdleTime: time.Minute, BodyBytes: bodyLimit}, 3*bodyLimit)
	var stalled []net.Conn
	for range 8 {
		conn, _ := dial(t, s)
		stalled = append(stalled, conn)
		go func() { _, _ = io.WriteString(conn, head("/a/", bodyLimit)+strings.Repeat("x", bodyLimit-1)) }()
	}
	awaitMemory(t, s, true)
	whole := head("/a/", bodyLimit) + strings.Repeat("x", bodyLimit)
	status := 0
	for range 100 {
		conn, r := dial(t, s)
		go func() { _, _ = io.WriteString(conn, whole) }()
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			if status = res.StatusCode; status == http.StatusOK {
				break
			}
			c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(res.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(status, qt.Equals, http.StatusOK)
	for _, conn := range stalled {
		_ = conn.Close()
	}
	awaitMemory(t, s, false)
}

// TestAnnouncedBodyOverLimitIsAwaited guards against waiting for a body that is refused whatever it holds.
func TestAnnouncedBodyOverLimitIsAwaited(t *testing.T) {
	s, _ := startLimitedServer(t, nil, settings.ClientLimits{IdleTime: time.Minute, BodyBytes: bodyLimit}, 0)
	conn, r := dial(t, s)
	_, err := io.WriteString(conn, head("/a/", 1<<40))
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	res, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(res.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(res.Close, qt.IsTrue)
}

// TestRefusalWaitsForUnfinishedBody guards against answering a refused request only when its body has come.
func TestRefusalWaitsForUnfinishedBody(t *testing.T) {
	s, _ := startLimitedServer(t, nil, settings.ClientLimits{IdleTime: time.Minute, BodyBytes: bodyLimit}, 0)
	conn, r := dial(t, s)
	_, err := io.WriteString(conn, head("/b/", 100)+"x")
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	res, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(res.StatusCode, qt.Equals, http.StatusNotFound)
}

// TestClientThatReadsNoRefusalsIsAwaitedForever guards against a write of a refusal that never ends.
func TestClientThatReadsNoRefusalsIsAwaitedForever(t *testing.T) {
	s, _ := startLimitedServer(t, nil, settings.ClientLimits{IdleTime: time.Minute, BodyBytes: bodyLimit}, 0)
	conn, _ := dial(t, s)
	c := qt.New(t)
	c.Assert(conn.SetWriteDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	requests := strings.Repeat("GET /b/ HTTP/1.1\r\nHost: desk.example\r\n\r\n", 1000)
	var err error
	for err == nil {
		_, err = io.WriteString(conn, requests)
	}
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("%v", err))
}
