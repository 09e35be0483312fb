package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

const (
	longBody   = 16 << 20
	wholeLines = 4000
)

// lines returns lines of an answer.
func lines(n int) string { return strings.Repeat("a line of the answer\n", n) }

func longCall() Call { return Call{Method: http.MethodPost, Path: "/", Body: make([]byte, longBody)} }

// TestResetAnswerIsPassedOnAsWhole guards against half of an answer without a length that is taken for the whole of it: a write of the
// request's body can consume the only report of the reset.
func TestResetAnswerIsPassedOnAsWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) {
			url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
				readHead(r)
				_, _ = fmt.Fprintf(conn, "%s 200 OK\r\n\r\n%s", version, lines(wholeLines/2))
				time.Sleep(5 * time.Millisecond)
				// Closing with unread bytes resets the connection.
			})
			whole := 0
			for range 40 {
				_, err := run(t, url, longCall())
				var truncated *TruncatedError
				if !errors.As(err, &truncated) {
					whole++
				}
			}
			qt.Assert(t, whole, qt.Equals, 0, qt.Commentf("of 40 halves are the whole answer"))
		})
	}
}

// TestClosedAnswerIsPassedOnAsWhole guards against the part of an answer that an upstream sends which ends while it reads the request: the
// connection is closed, and reset by the next bytes of the request.
func TestClosedAnswerIsPassedOnAsWhole(t *testing.T) {
	url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
		readHead(r)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", lines(wholeLines/2))
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
	})
	for range 20 {
		_, err := run(t, url, longCall())
		var truncated *TruncatedError
		qt.Assert(t, errors.As(err, &truncated), qt.IsTrue, qt.Commentf("half of the answer is the whole: %v", err))
	}
}

// TestEarlyAnswerIsPassedOnAsCut guards against whole answers that count as cut because the upstream reads the body late.
func TestEarlyAnswerIsPassedOnAsCut(t *testing.T) {
	tests := []struct {
		name  string
		serve func(conn *net.TCPConn, r *bufio.Reader) error
	}{
		{"body read before the end", func(conn *net.TCPConn, r *bufio.Reader) error {
			_, _ = io.WriteString(conn, lines(wholeLines/2))
			_, err := io.CopyN(io.Discard, r, longBody)
			_, _ = io.WriteString(conn, lines(wholeLines/2))
			return err
		}},
		{"body read after the end", func(conn *net.TCPConn, r *bufio.Reader) error {
			_, _ = io.WriteString(conn, lines(wholeLines))
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, err := io.CopyN(io.Discard, r, longBody)
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
				readHead(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
				if err := tt.serve(conn, r); err != nil {
					t.Errorf("the request broke off: %v", err)
				}
			})
			for range 5 {
				got, err := run(t, url, longCall())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(got.body), qt.Equals, lines(wholeLines))
			}
		})
	}
}

// TestUnreadRequestHoldsAnswer guards against an answer that waits without end for a request that the upstream does not read.
func TestUnreadRequestHoldsAnswer(t *testing.T) {
	tests := []struct {
		name string
		// cancelAfter is how long after the answer has been sent the call is cancelled, 0 for never.
		cancelAfter, most time.Duration
	}{
		{"answer ended", 0, writeTimeout + time.Second},
		{"call cancelled", 100 * time.Millisecond, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan struct{})
			answered := make(chan time.Time, 1)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
				readHead(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+lines(1))
				_ = conn.CloseWrite()
				answered <- time.Now()
				if tt.cancelAfter > 0 {
					time.AfterFunc(tt.cancelAfter, cancel)
				}
				<-ended
			})
			t.Cleanup(func() { close(ended) })
			client := New(url)
			t.Cleanup(client.Close)
			_, err := client.Run(ctx, longCall(), &answer{})
			held := time.Since(<-answered)
			var truncated *TruncatedError
			qt.Assert(t, errors.As(err, &truncated), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, held < tt.most, qt.IsTrue, qt.Commentf("%v", held))
		})
	}
}
