package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
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
