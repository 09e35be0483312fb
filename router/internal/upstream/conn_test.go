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

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/responsehead"
)

type idDialect struct{}

func (idDialect) ReadAnswer(_ int, h http.Header) call.Answer {
	return call.Answer{ID: call.ID(h.Get("Id"))}
}

// serveOne serves one connection and returns the address.
func serveOne(t *testing.T, serve func(conn *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(16 << 10)
		serve(tcp, bufio.NewReaderSize(conn, 16))
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return ln.Addr().String()
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

const (
	longBody   = 4 << 20
	wholeLines = 4000
)

// lines returns lines of an answer.
func lines(n int) string { return strings.Repeat("a line of the answer\n", n) }

// exchangeLong sends a request with a long body and reads the answer.
func exchangeLong(t *testing.T, address string) (string, error) {
	t.Helper()
	c := qt.New(t)
	p := &Pool{Dialect: idDialect{}}
	conn, err := p.Get(context.Background(), members.Instance{ID: "i", Address: address}, ReuseRecent)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	res, err := conn.Do(&Request{
		ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, longBody), HasBody: true,
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// TestResetAnswerLooksComplete guards against half of an answer without a length that is taken for the whole of it: a write of the request's
// body can consume the only report of the reset.
func TestResetAnswerLooksComplete(t *testing.T) {
	for range 40 {
		address := serveOne(t, func(conn *net.TCPConn, r *bufio.Reader) {
			readHead(r)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n%s", lines(wholeLines/2))
			time.Sleep(5 * time.Millisecond)
			// Closing with unread bytes resets the connection.
		})
		body, err := exchangeLong(t, address)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d bytes of %d are the whole answer", len(body), len(lines(wholeLines))))
	}
}

// TestEarlyAnswerWithoutLengthIsBrokenOff guards against whole answers that count as broken off because the upstream reads the body late.
func TestEarlyAnswerWithoutLengthIsBrokenOff(t *testing.T) {
	tests := []struct {
		name  string
		serve func(conn *net.TCPConn, r *bufio.Reader)
	}{
		{"body read before the end", func(conn *net.TCPConn, r *bufio.Reader) {
			_, _ = io.WriteString(conn, lines(wholeLines/2))
			_, _ = io.CopyN(io.Discard, r, longBody)
			_, _ = io.WriteString(conn, lines(wholeLines/2))
		}},
		{"body read after the end", func(conn *net.TCPConn, r *bufio.Reader) {
			_, _ = io.WriteString(conn, lines(wholeLines))
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.CopyN(io.Discard, r, longBody)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serveOne(t, func(conn *net.TCPConn, r *bufio.Reader) {
				readHead(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n")
				tt.serve(conn, r)
			})
			body, err := exchangeLong(t, address)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(body), qt.Equals, len(lines(wholeLines)))
		})
	}
}

// TestSuccessWithoutIDIsPassedOn guards against a page of something else that counts as the answer to the first request on a connection.
func TestSuccessWithoutIDIsPassedOn(t *testing.T) {
	tests := []struct {
		name, answer string
		accepted     bool
	}{
		{"success", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false},
		{"success that ends with the connection", "HTTP/1.1 200 OK\r\n\r\nhi", false},
		{"redirect", "HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n", false},
		{"success with the id", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nhi", true},
		{"refusal of an unreadable request", "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address := serveOne(t, func(conn *net.TCPConn, r *bufio.Reader) {
				readHead(r)
				_, _ = io.WriteString(conn, tt.answer)
			})
			p := &Pool{Dialect: idDialect{}}
			conn, err := p.Get(context.Background(), members.Instance{ID: "i", Address: address}, ReuseRecent)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Do(&Request{ID: "r", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
			c.Assert(err == nil, qt.Equals, tt.accepted)
		})
	}
}

// requestOnce sends a request without a body to an upstream that answers with the given bytes, and returns the response.
func requestOnce(t *testing.T, answer string) (*Response, error) {
	t.Helper()
	address := serveOne(t, func(conn *net.TCPConn, r *bufio.Reader) {
		readHead(r)
		_, _ = io.WriteString(conn, answer)
	})
	p := &Pool{Dialect: idDialect{}}
	conn, err := p.Get(context.Background(), members.Instance{ID: "i", Address: address}, ReuseRecent)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(conn.Close)
	return conn.Do(&Request{ID: "r", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
}

// TestInvalidStatusIsTakenForAnswer guards against a status line of something else that counts as the answer, or whose body does.
func TestInvalidStatusIsTakenForAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nhi"
	lines := []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 -00 Trouble",
		"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 000", "HTTP/1.0 000 Trouble", "HTTP/2.0 200 OK",
	}
	for _, line := range lines {
		t.Run(line, func(t *testing.T) {
			res, err := requestOnce(t, fmt.Sprintf("%s\r\nId: r\r\nContent-Length: %d\r\n\r\n%s", line, len(inner), inner))
			if err == nil {
				t.Fatalf("status %d is the answer", res.StatusCode)
			}
			var invalid *responsehead.InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			var notSent *NotSentError
			qt.Assert(t, errors.As(err, &notSent), qt.IsFalse)
		})
	}
}

// TestUnusualStatusIsInvalid guards against statuses without a meaning of their own that count as invalid (RFC 9110, section 15).
func TestUnusualStatusIsInvalid(t *testing.T) {
	for _, status := range []int{200, 299, 399, 471, 599} {
		res, err := requestOnce(t, fmt.Sprintf("HTTP/1.1 %d\r\nId: r\r\nContent-Length: 0\r\n\r\n", status))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.StatusCode, qt.Equals, status)
	}
}

// TestBodyOfInformationalIsTakenForAnswer guards against an answer that is read from the body of a response that can have none.
func TestBodyOfInformationalIsTakenForAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nhi"
	heads := []string{
		"100 Continue\r\nContent-Length: 48", "102 Processing\r\nContent-Length: 48", "103 Early Hints\r\nContent-Length: 48",
		"100 Continue\r\nTransfer-Encoding: chunked", "101 Switching Protocols", "101 Switching Protocols\r\nContent-Length: 48",
		"101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other",
	}
	for _, head := range heads {
		t.Run(head, func(t *testing.T) {
			res, err := requestOnce(t, "HTTP/1.1 "+head+"\r\nId: r\r\n\r\n"+inner)
			if err == nil {
				t.Fatalf("status %d is the answer", res.StatusCode)
			}
			var invalid *responsehead.InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestInformationalIsTakenForAnswer guards against informational responses that count as invalid, or as the answer.
func TestInformationalIsTakenForAnswer(t *testing.T) {
	res, err := requestOnce(t, "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\nId: r\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.StatusCode, qt.Equals, http.StatusNoContent)
}
