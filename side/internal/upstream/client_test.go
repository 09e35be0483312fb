package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/responsehead"
)

// answer is a sink that keeps what it gets.
type answer struct {
	status int
	body   []byte
}

func (a *answer) Head(status int, _ []peer.Header) error {
	a.status = status
	return nil
}

func (a *answer) Chunk(data []byte) error {
	a.body = append(a.body, data...)
	return nil
}

// serve serves connections one after the other and returns the base URL.
func serve(t *testing.T, handle func(conn *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			handle(conn.(*net.TCPConn), bufio.NewReaderSize(conn, 16))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return "http://" + ln.Addr().String()
}

// readHead reads a request up to its body.
func readHead(r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

// run runs one call at an upstream and returns its answer.
func run(t *testing.T, url string, call Call) (*answer, error) {
	t.Helper()
	client := New(url)
	t.Cleanup(client.Close)
	var a answer
	_, err := client.Run(context.Background(), call, &a)
	return &a, err
}

// TestInvalidStatusIsPassedOn guards against a status line of something else that counts as the answer, or whose body does.
func TestInvalidStatusIsPassedOn(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	lines := []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 -00 Trouble",
		"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.0 000 Trouble", "HTTP/2.0 200 OK",
	}
	for _, line := range lines {
		t.Run(line, func(t *testing.T) {
			url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
				readHead(r)
				_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n\r\n%s", line, len(inner), inner)
			})
			got, err := run(t, url, Call{Method: http.MethodPost, Path: "/"})
			var truncated *TruncatedError
			qt.Assert(t, errors.As(err, &truncated), qt.IsTrue, qt.Commentf("status %d is passed on: %v", got.status, err))
			var invalid *responsehead.InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, got.status, qt.Equals, 0)
		})
	}
}

// TestBodyOfInformationalIsPassedOn guards against an answer that is read from the body of a response that can have none.
func TestBodyOfInformationalIsPassedOn(t *testing.T) {
	heads := []string{
		"100 Continue\r\nContent-Length: 40", "103 Early Hints\r\nContent-Length: 40", "101 Switching Protocols",
		"101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other",
	}
	for _, head := range heads {
		t.Run(head, func(t *testing.T) {
			url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
				readHead(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 "+head+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
			})
			got, err := run(t, url, Call{Method: http.MethodPost, Path: "/"})
			var truncated *TruncatedError
			qt.Assert(t, errors.As(err, &truncated), qt.IsTrue, qt.Commentf("status %d is passed on: %v", got.status, err))
			var invalid *responsehead.InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestInformationalIsPassedOn guards against informational responses that count as invalid, or as the answer.
func TestInformationalIsPassedOn(t *testing.T) {
	url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
		readHead(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
	})
	got, err := run(t, url, Call{Method: http.MethodPost, Path: "/"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.status, qt.Equals, http.StatusNoContent)
}

// TestInformationalsWithoutEndAreRead guards against a head of informational responses that is read for as long as they come.
func TestInformationalsWithoutEndAreRead(t *testing.T) {
	url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
		readHead(r)
		for {
			if _, err := io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"); err != nil {
				return
			}
		}
	})
	_, err := run(t, url, Call{Method: http.MethodPost, Path: "/"})
	var truncated *TruncatedError
	qt.Assert(t, errors.As(err, &truncated), qt.IsTrue, qt.Commentf("%v", err))
}

// TestInvalidResponseKeepsConnection guards against a connection that carries another request after bytes that are no response.
func TestInvalidResponseKeepsConnection(t *testing.T) {
	url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
		readHead(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n")
		if _, err := r.Peek(1); err == nil {
			t.Error("another request came on the connection")
		}
	})
	client := New(url)
	t.Cleanup(client.Close)
	for range 2 {
		var got answer
		_, err := client.Run(context.Background(), Call{Method: http.MethodGet, Path: "/"}, &got)
		qt.Assert(t, err, qt.IsNotNil)
	}
}

// TestInvalidResponseIsTakenForPrefix guards against a prefix that is read from the body of a response that can have none.
func TestInvalidResponseIsTakenForPrefix(t *testing.T) {
	url := serve(t, func(conn *net.TCPConn, r *bufio.Reader) {
		readHead(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	})
	client := New(url)
	t.Cleanup(client.Close)
	prefix, err := client.Export(context.Background(), 1)
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q is the prefix", prefix))
}
