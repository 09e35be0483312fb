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

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/members"
)

func shortFields(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// answer sends a request to an upstream that answers with a text and keeps the connection.
func answer(t *testing.T, text string) (*Response, error) {
	t.Helper()
	c := qt.New(t)
	address := serveOne(t, func(conn *net.TCPConn, r *bufio.Reader) {
		readHead(r)
		_, _ = io.WriteString(conn, text)
		_, _ = r.ReadByte()
	})
	conn, err := (&Pool{Dialect: idDialect{}}).Get(context.Background(), members.Instance{ID: "i", Address: address}, ReuseNone)
	c.Assert(err, qt.IsNil)
	t.Cleanup(conn.Close)
	timer := time.AfterFunc(5*time.Second, conn.Close)
	defer timer.Stop()
	return conn.Do(&Request{ID: "r", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
}

// TestHeadOfShortFieldsIsRead guards against heads that take many times the memory of their bytes.
func TestHeadOfShortFieldsIsRead(t *testing.T) {
	const ok, end = "HTTP/1.1 200 OK\r\nId: r\r\n", "Content-Length: 0\r\n\r\n"
	tests := []struct {
		name string
		text string
	}{
		{"ended", ok + shortFields(8000) + end},
		{"unfinished", ok + shortFields(8000)},
		{"after an informational head", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + shortFields(8000) + end},
		{"in informational heads", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+shortFields(50)+"\r\n", 20) + ok + end},
		{"after the answer to another request", "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 1\r\n\r\nx" + ok + shortFields(8000) + end},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := answer(t, tt.text)
			var fieldsErr *httphead.FieldsError
			qt.Assert(t, errors.As(err, &fieldsErr), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestOrdinaryHeadIsRefused guards against bounds that answers meet, and against counting the lines of a body.
func TestOrdinaryHeadIsRefused(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("\na\n\n", 1000)
	var fields strings.Builder
	for i := range 100 {
		fmt.Fprintf(&fields, "Field-%d: %s\r\n", i, strings.Repeat("x", 500))
	}
	res, err := answer(t, fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\n%sContent-Length: %d\r\n\r\n%s",
		fields.String(), len(body), body))
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got) == body, qt.IsTrue)
}

// TestReasonOfLimitIsLost guards against ending attempts without saying which limit an answer exceeded.
func TestReasonOfLimitIsLost(t *testing.T) {
	c := qt.New(t)
	_, err := answer(t, "HTTP/1.1 200 OK\r\nId: r\r\n"+shortFields(8000))
	part, ok := OverLimit(err)
	c.Check(ok, qt.IsTrue)
	c.Check(part, qt.Equals, PartFields)
	_, err = answer(t, "HTTP/1.1 200 OK\r\nId: r\r\nA: "+strings.Repeat("x", 1<<20))
	part, _ = OverLimit(err)
	c.Check(part, qt.Equals, PartHead)
	_, err = NewEvents(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)), nil, clock.Boot{}).Next()
	part, _ = OverLimit(err)
	c.Check(part, qt.Equals, PartEvent)
	_, err = NewEvents(strings.NewReader("data: x"), nil, clock.Boot{}).Next()
	_, ok = OverLimit(err)
	c.Check(ok, qt.IsFalse)
}
