package direct

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// endings of a connection on which an answer has been cut.
var cutEndings = map[string]func(conn net.Conn, whole string) (keep bool){
	"closed": func(net.Conn, string) bool { return false },
	"reset": func(conn net.Conn, _ string) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	},
	"answered again": func(conn net.Conn, whole string) bool {
		_, _ = conn.Write([]byte(whole))
		return true
	},
	"answered again late": func(conn net.Conn, whole string) bool {
		time.Sleep(2 * time.Millisecond)
		_, _ = conn.Write([]byte(whole))
		return false
	},
}

// TestCutAnswerIsTakenForWhole guards against an answer that an upstream breaks off at any byte, and at times sends once more, and that
// the client gets as a success with another body than the upstream's.
func TestCutAnswerIsTakenForWhole(t *testing.T) {
	// A chunk of it is longer than a head.
	body := strings.Repeat("the whole body ", 8)
	framings := map[string]string{
		"length":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 9, body[:9], len(body)-9, body[9:]),
		"unframed": "\r\n" + body,
	}
	for framing, rest := range framings {
		for _, lineEnd := range []string{"\r\n", "\n"} {
			for ending, end := range cutEndings {
				t.Run(fmt.Sprintf("%s, %s, line end %q", framing, ending, lineEnd), func(t *testing.T) {
					t.Parallel()
					whole := strings.ReplaceAll("HTTP/1.1 200 OK\r\nSeal: abc\r\nId: r1\r\n"+rest, "\r\n", lineEnd)
					for cut := 1; cut < len(whole); cut++ {
						inBody := strings.Contains(whole[:cut], lineEnd+lineEnd)
						if inBody && framing == "unframed" && ending != "reset" {
							// Nothing but the end of the connection marks the end of such a body.
							break
						}
						b := newFixture(t, handlers{func(conn net.Conn, _ *http.Request) bool {
							_, _ = conn.Write([]byte(whole[:cut]))
							return end(conn, whole)
						}}, handlers{respond(200, "other")})
						res, sink := b.do(idempotent, "r1")
						got := sink.body.String()
						if res.Outcome == peer.OutcomeDone && got != "other" && got != body {
							qt.Check(t, got, qt.Equals, body, qt.Commentf("cut at %d of %q", cut, whole))
						}
					}
				})
			}
		}
	}
}

// otherAnswers are the late second answers that follow an answer to r2 on its connection.
var otherAnswers = map[string]string{
	"to the same request":                    "HTTP/1.1 200 OK\r\nSeal: abc\r\nId: r2\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("once more", 1000),
	"to the request before":                  "HTTP/1.1 200 OK\r\nSeal: abc\r\nId: r1\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("of others", 1000),
	"to the request before, a failure":       "HTTP/1.1 500 Failed\r\nId: r1\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("of others", 1000),
	"to the request before, lines end early": "HTTP/1.1 200 OK\nId: r1\nContent-Length: 9000\n\n" + strings.Repeat("of others", 1000),
}

// doSecond sends r1 and then r2 to an upstream, which answers r2 with a handler, and returns the result and the body of r2. A retry goes to an
// upstream that answers "other".
func doSecond(t *testing.T, route settings.Route, second func(net.Conn, *http.Request) bool) (Result, string) {
	t.Helper()
	b := newFixture(t, handlers{respond(200, "first"), second}, handlers{respond(200, "other")})
	_, _ = b.do(idempotent, "r1")
	res, sink := b.do(route, "r2")
	return res, sink.body.String()
}

// TestCutAnswerIsFilledWithAnotherRequestsAnswer guards against an answer that breaks off and whose rest is the late second answer to an
// earlier request on the connection.
func TestCutAnswerIsFilledWithAnotherRequestsAnswer(t *testing.T) {
	body := strings.Repeat("the whole body ", 8)
	framings := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 9, body[:9], len(body)-9, body[9:]),
	}
	for framing, rest := range framings {
		for name, other := range otherAnswers {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s, after %v", framing, name, delay), func(t *testing.T) {
					t.Parallel()
					whole := "HTTP/1.1 200 OK\r\nSeal: abc\r\nId: r2\r\n" + rest
					for cut := 1; cut < len(whole); cut++ {
						res, got := doSecond(t, idempotent, func(conn net.Conn, _ *http.Request) bool {
							_, _ = conn.Write([]byte(whole[:cut]))
							time.Sleep(delay)
							_, _ = conn.Write([]byte(other))
							return true
						})
						if res.Outcome == peer.OutcomeDone && got != "other" && got != body {
							qt.Check(t, got, qt.Equals, body, qt.Commentf("cut at %d of %q", cut, whole))
						}
					}
				})
			}
		}
	}
}

// TestCutStreamIsFilledWithAnotherRequestsAnswer guards against events of an earlier request, or the head of their answer, in a stream that
// breaks off.
func TestCutStreamIsFilledWithAnotherRequestsAnswer(t *testing.T) {
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, cut := range []int{0, 3, 9, 14, 15, 20, len(events) - 1} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			res, got := doSecond(t, stream, func(conn net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: r2\r\n\r\n%s", events[:cut])
				time.Sleep(2 * time.Millisecond)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nid: 1\ndata: of others\n\nid: 2\ndata: of others\n\n"))
				return false
			})
			qt.Check(t, strings.Contains(got, "HTTP/1.1") || strings.Contains(got, "of others"), qt.IsFalse, qt.Commentf("%q", got))
			qt.Check(t, res.Outcome == peer.OutcomeDone && got != "other", qt.IsFalse, qt.Commentf("%q", got))
		})
	}
}

// TestCutLargeAnswerIsTakenForWhole guards against an answer that is too long to be read completely first, breaks off late, and is filled up
// by another answer on its connection.
func TestCutLargeAnswerIsTakenForWhole(t *testing.T) {
	body := strings.Repeat("the whole body. ", (maxBufferedBytes+(80<<10))/16)
	cuts := []int{1000, maxBufferedBytes - 7, maxBufferedBytes, maxBufferedBytes + 1, len(body) - 9000, len(body) - 150, len(body) - 40, len(body) - 13}
	for name, other := range otherAnswers {
		for _, cut := range cuts {
			// The head of the other answer may come in two reads.
			for _, split := range []int{0, 1, 9, 15, 30} {
				t.Run(fmt.Sprintf("%s, cut at %d, in parts of %d", name, cut, split), func(t *testing.T) {
					t.Parallel()
					res, got := doSecond(t, idempotent, func(conn net.Conn, _ *http.Request) bool {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nSeal: abc\r\nId: r2\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:cut])
						time.Sleep(2 * time.Millisecond)
						_, _ = conn.Write([]byte(other[:split]))
						if split > 0 {
							time.Sleep(2 * time.Millisecond)
						}
						for range 1 + (len(body)-cut)/len(other) {
							_, _ = conn.Write([]byte(other[split:]))
						}
						return true
					})
					if res.Outcome == peer.OutcomeDone && got != "other" && got != body {
						t.Errorf("%d bytes are taken for the whole answer of %d; from the cut on %q", len(got), len(body), got[cut:min(cut+80, len(got))])
					}
					qt.Check(t, strings.Contains(got, "of others"), qt.IsFalse)
				})
			}
		}
	}
}

// TestLargeAnswerThatQuotesHeadsIsCut guards against whole answers that count as broken off since they contain the head of an answer that is
// not one to a request of the connection.
func TestLargeAnswerThatQuotesHeadsIsCut(t *testing.T) {
	quotes := map[string]string{
		"status lines":  "HTTP/1.1 200 OK\r\nand HTTP/1.1 404 Not Found\r\n",
		"a head":        "HTTP/1.1 200 OK\r\nId: r9\r\nContent-Length: 3\r\n\r\n",
		"its beginning": "HTTP/1.1 2",
		// The time for it must not grow with the square of the length.
		"nothing but status lines": "HTTP/1.1 200 OK\n",
	}
	for _, name := range slices.Sorted(maps.Keys(quotes)) {
		for _, size := range []int{1 << 10, maxBufferedBytes - 10, maxBufferedBytes + 5, maxBufferedBytes + (40 << 10)} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				between := strings.Repeat("text ", 100)
				if name == "nothing but status lines" {
					between = ""
				}
				part := between + quotes[name]
				body := strings.Repeat(part, size/len(part)+1)
				res, got := doSecond(t, idempotent, respond(200, body))
				qt.Check(t, res.Outcome, qt.Equals, peer.OutcomeDone)
				qt.Check(t, got == body, qt.IsTrue, qt.Commentf("%d bytes of %d", len(got), len(body)))
			})
		}
	}
}
