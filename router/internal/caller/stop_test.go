package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/shutdown"
	"rattantrack.dev/router/internal/sides"
)

// TestAnswerDuringStopKeepsConnection guards against a caller that sends its next call on a connection that is about to end, since the answer
// did not announce it: the call came before the stop began.
func TestAnswerDuringStopKeepsConnection(t *testing.T) {
	tests := map[string]func(ctx context.Context, c *sides.Call, sink sides.Sink) sides.Result{
		"answered": answer,
		"refused": func(context.Context, *sides.Call, sides.Sink) sides.Result {
			return sides.Result{Outcome: peer.OutcomeNotRun, Code: string(peer.RefuseOverloaded)}
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			proceed := make(chan struct{})
			s, stop := startServer(t, dispatcherFunc(func(ctx context.Context, call *sides.Call, sink sides.Sink) sides.Result {
				<-proceed
				return end(ctx, call, sink)
			}))
			s.Config.NoticeTime = time.Second
			conn := dial(t, s)
			_, err := io.WriteString(conn, head(callPath, 1)+"x")
			c.Assert(err, qt.IsNil)
			for s.openCalls.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			go stop()
			for !s.Stopping() {
				time.Sleep(time.Millisecond)
			}
			close(proceed)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Close, qt.IsTrue)
		})
	}
}

// TestCallIsCutAtTheEndOfTheStop guards against a call that outlasts the stop and whose caller gets no answer.
func TestCallIsCutAtTheEndOfTheStop(t *testing.T) {
	c := qt.New(t)
	s, stop := startServer(t, dispatcherFunc(func(ctx context.Context, _ *sides.Call, _ sides.Sink) sides.Result {
		<-ctx.Done()
		var ended *shutdown.EndedError
		if errors.As(context.Cause(ctx), &ended) {
			return sides.Result{Outcome: peer.OutcomeUnknown, Code: "stopping"}
		}
		return sides.Result{Outcome: peer.OutcomeUnknown, Code: sides.CodeCallerGone}
	}))
	conn := dial(t, s)
	_, err := io.WriteString(conn, head(callPath, 1)+"x")
	c.Assert(err, qt.IsNil)
	for s.openCalls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go stop()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(res.StatusCode, qt.Equals, http.StatusBadGateway)
	body, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(body), `"stopping"`), qt.IsTrue, qt.Commentf("%s", body))
}
