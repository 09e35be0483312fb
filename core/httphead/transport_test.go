package httphead

import (
	"bufio"
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

const okHead = "HTTP/1.1 200 OK\r\n"

// serveText answers each request on one connection with a text, and keeps the connection. It returns the base URL.
func serveText(t *testing.T, texts ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		r := bufio.NewReader(nc)
		for _, text := range texts {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(nc, text); err != nil {
				return
			}
		}
		// The client closes the connection, or fails to.
		_, _ = r.ReadByte()
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return "http://" + ln.Addr().String()
}

func client(t *testing.T) *http.Client {
	c := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func shortFields(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// TestHeadOfShortFieldsIsRead guards against heads that take many times the memory of their bytes.
func TestHeadOfShortFieldsIsRead(t *testing.T) {
	end := "Content-Length: 0\r\n\r\n"
	tests := []struct {
		name string
		text string
	}{
		{"ended", okHead + shortFields(8000) + end},
		{"unfinished", okHead + shortFields(8000)},
		{"after an informational head", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + okHead + shortFields(8000) + end},
		{"after an informational head with spaces", "HTTP/1.1   103 Early Hints\r\n\r\n" + okHead + shortFields(8000) + end},
		{"in informational heads", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+shortFields(50)+"\r\n", 20) + okHead + end},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url := serveText(t, tt.text)
			_, err := client(t).Get(url)
			var fieldsErr *FieldsError
			qt.Assert(t, errors.As(err, &fieldsErr), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestLongHeadIsRead guards against heads of one field without end.
func TestLongHeadIsRead(t *testing.T) {
	url := serveText(t, okHead+"A: "+strings.Repeat("x", 1<<20))
	_, err := client(t).Get(url)
	qt.Assert(t, err, qt.ErrorMatches, ".*response headers exceeded 65536 bytes.*")
}

// TestOrdinaryHeadIsRefused guards against bounds that answers meet, against counting the lines of a body, and against counting the
// fields of all responses on a connection together.
func TestOrdinaryHeadIsRefused(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("a\n\n", 4000)
	var head strings.Builder
	head.WriteString("HTTP/1.1 100 Continue\r\n\r\n" + okHead)
	for i := range 150 {
		fmt.Fprintf(&head, "Field-%d: %s\r\n", i, strings.Repeat("x", 200))
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	text := head.String() + body
	url := serveText(t, text, text, text)
	cl := client(t)
	for range 3 {
		res, err := cl.Get(url)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got) == body, qt.IsTrue)
		_ = res.Body.Close()
	}
}

// TestHeadAfterBlankLinesIsNotCounted guards against servers that skip blank lines before a request line.
func TestHeadAfterBlankLinesIsNotCounted(t *testing.T) {
	f := Fields{Limit: 3}
	var fieldsErr *FieldsError
	qt.Assert(t, errors.As(f.Read([]byte("\r\n\r\nGET / HTTP/1.1\r\n"+shortFields(4))), &fieldsErr), qt.IsTrue)
}
