package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

const (
	firstEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	nextEvents  = "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
)

// TestAnswerOfAnotherRunIsWrittenIntoStream guards against heads, errors and other text in the middle of a stream, and against a stream
// that looks complete because another run did not continue it.
func TestAnswerOfAnotherRunIsWrittenIntoStream(t *testing.T) {
	tests := []struct {
		name    string
		second  handlers
		outcome peer.Outcome
		body    string
	}{
		{"client error", handlers{respond(400, "ERRORTEXT")}, peer.OutcomeUnknown, ""},
		{"unknown there", handlers{respond(404, "ERRORTEXT")}, peer.OutcomeUnknown, ""},
		{"gone", handlers{respond(410, "ERRORTEXT")}, peer.OutcomeUnknown, ""},
		{"server error", handlers{respond(500, "ERRORTEXT")}, peer.OutcomeUnknown, ""},
		{"not implemented", handlers{respond(501, "ERRORTEXT")}, peer.OutcomeUnknown, ""},
		{"part", handlers{respond(206, nextEvents)}, peer.OutcomeUnknown, ""},
		{"no content", handlers{respond(204, "")}, peer.OutcomeUnknown, ""},
		{"redirection", handlers{respond(302, "MOVED")}, peer.OutcomeUnknown, ""},
		{"unframed without an event", handlers{unframedStream("")}, peer.OutcomeUnknown, ""},
		{"another head in an unframed body", handlers{unframedStream("HTTP/1.1 500 X\r\nId: r1\r\n\r\nERR\n\n")}, peer.OutcomeUnknown, ""},
		{"text instead of events", handlers{respond(200, "NOT EVENTS\n\n")}, peer.OutcomeUnknown, ""},
		{"event without an id", handlers{respond(200, "data: error\n\n"+nextEvents)}, peer.OutcomeUnknown, ""},
		{"event with an id of another kind", handlers{respond(200, "id: x\ndata: error\n\n")}, peer.OutcomeUnknown, ""},
		{"text after an event", handlers{respond(200, "id: 3\ndata: 3\n\nNOT EVENTS\n\n")}, peer.OutcomeUnknown, "id: 3\ndata: 3\n\n"},
		{"text without an empty line", handlers{respond(200, "NOT EVENTS")}, peer.OutcomeUnknown, ""},
		{"events", handlers{respond(200, nextEvents)}, peer.OutcomeDone, nextEvents},
		{"events after a comment", handlers{respond(200, ": wait\n\n"+nextEvents)}, peer.OutcomeDone, ": wait\n\n" + nextEvents},
		{"events and a last one without an id", handlers{respond(200, nextEvents+"data: [DONE]\n\n")}, peer.OutcomeDone, nextEvents + "data: [DONE]\n\n"},
		{"all events again", handlers{respond(200, firstEvents+nextEvents)}, peer.OutcomeDone, nextEvents},
		{"nothing left, with a length", handlers{respond(200, "")}, peer.OutcomeDone, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(t, handlers{streamEvents(2, false)}, tt.second)
			res, sink := b.do(resumable, "r1")
			c.Assert(res.Outcome, qt.Equals, tt.outcome)
			if tt.outcome != peer.OutcomeDone {
				c.Assert(res.Code, qt.Equals, CodeCut)
			}
			c.Assert(sink.body.String(), qt.Equals, firstEvents+tt.body)
			c.Assert(sink.heads, qt.Equals, 1)
			c.Assert(sink.status, qt.Equals, 200)
		})
	}
}

// TestEventHoldsAnotherAnswer guards against an event that is cut, and that the answer which follows on the connection fills.
func TestEventHoldsAnotherAnswer(t *testing.T) {
	c := qt.New(t)
	first := func(conn net.Conn, req *http.Request) bool {
		id := req.Header.Get("Id")
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, 2*len(firstEvents+nextEvents), firstEvents+nextEvents)
		_, _ = io.WriteString(conn, whole[:len(whole)-len(nextEvents)+len("id: 3\nda")])
		_, _ = io.WriteString(conn, whole)
		return true
	}
	b := newFixture(t, handlers{first}, handlers{respond(200, nextEvents)})
	res, sink := b.do(resumable, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)
	c.Assert(sink.body.String(), qt.Equals, firstEvents+nextEvents)
}

// TestStreamGoesOnAfterAnAnswerThatDoesNotContinueIt guards against streams that end with the first run that cannot continue them.
func TestStreamGoesOnAfterAnAnswerThatDoesNotContinueIt(t *testing.T) {
	c := qt.New(t)
	route := resumable
	route.Attempts = 3
	whole := streamEvents(4, true)
	b := newFixture(t, handlers{streamEvents(2, false), whole}, handlers{respond(404, "ERRORTEXT"), whole})
	res, sink := b.do(route, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)
	c.Assert(sink.body.String(), qt.Equals, firstEvents+nextEvents)
	c.Assert(sink.heads, qt.Equals, 1)
}

// TestStreamTakenUpEndsWithoutAnEvent guards against a stream that a client takes up again and that looks complete because the
// connection ended before any event.
func TestStreamTakenUpEndsWithoutAnEvent(t *testing.T) {
	c := qt.New(t)
	route := resumable
	route.Backends = []settings.Backend{{Service: "desk"}}
	b := newFixture(t, handlers{unframedStream("")}, handlers{streamEvents(4, true)})
	res, sink := b.takeUp(route, "r1", "r0")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)
	c.Assert(res.Runs, qt.Equals, 2)
	c.Assert(strings.HasSuffix(sink.body.String(), nextEvents), qt.IsTrue, qt.Commentf("%s", sink.body.String()))
}

// TestStreamWithoutIDsIsNotContinued guards against a stream whose events have no ids and that another run begins anew.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{unframedStream("data: 1\n\nda")}, handlers{respond(200, "data: 1\n\ndata: 2\n\n")})
	res, sink := b.do(resumable, "r1")
	c.Assert(res.Code, qt.Equals, CodeCut)
	c.Assert(res.Runs, qt.Equals, 1)
	c.Assert(sink.body.String(), qt.Equals, "data: 1\n\n")
}

// TestStreamWithEventsBeforeItsFirstIDIsContinued guards against streams that no other run continues because they begin with a comment, or
// with an event without an id.
func TestStreamWithEventsBeforeItsFirstIDIsContinued(t *testing.T) {
	for _, tt := range []struct{ begin, broken, next string }{
		{": wait\n\n", "", "id: 1\ndata: 1\n\n"},
		{": wait\n\n", "id: 1\nda", "id: 1\ndata: 1\n\n"},
		{"data: start\n\nid: 1\ndata: 1\n\n", "id: 2\nda", "id: 2\ndata: 2\n\n"},
	} {
		c := qt.New(t)
		b := newFixture(t, handlers{unframedStream(tt.begin + tt.broken)}, handlers{respond(200, tt.next)})
		res, sink := b.do(resumable, "r1")
		c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)
		c.Assert(sink.body.String(), qt.Equals, tt.begin+tt.next)
		c.Assert(sink.heads, qt.Equals, 1)
	}
}

// largeBody is larger than a body that is read completely before the client gets any of it.
var largeBody = strings.Repeat("x", 2*maxBufferedBytes)

// chunkedBody returns a handler that writes a body in chunks, and breaks off after the given number of bytes if that is less than all.
func chunkedBody(body string, end int) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, req *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", req.Header.Get("Id"), len(body))
		_, _ = io.WriteString(conn, body[:end])
		if end < len(body) {
			return false
		}
		_, _ = io.WriteString(conn, "\r\n0\r\n\r\n")
		return true
	}
}

// TestLargeBodyIsContinuedByAnotherRun guards against a body that broke off at the client and to which the body of a retry is added.
func TestLargeBodyIsContinuedByAnotherRun(t *testing.T) {
	broken := maxBufferedBytes + 5000
	tests := []struct {
		name  string
		route settings.Route
		first func(net.Conn, *http.Request) bool
	}{
		{"in chunks", idempotent, chunkedBody(largeBody, broken)},
		{"with a length", idempotent, func(conn net.Conn, req *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(largeBody), largeBody[:broken])
			return false
		}},
		{"not a stream", resumable, func(conn net.Conn, req *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 206 X\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(largeBody), largeBody[:broken])
			return false
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(t, handlers{tt.first}, handlers{chunkedBody(largeBody, len(largeBody))})
			res, sink := b.do(tt.route, "r1")
			c.Assert(res.Code, qt.Equals, CodeCut)
			c.Assert(res.Runs, qt.Equals, 1)
			c.Assert(sink.heads, qt.Equals, 1)
			c.Assert(sink.body.Len() <= broken, qt.IsTrue, qt.Commentf("%d", sink.body.Len()))
		})
	}
}

// TestSlowLargeBodyIsGivenUp guards against a body that has begun at the client and that the stall timer ends in favour of another run.
func TestSlowLargeBodyIsGivenUp(t *testing.T) {
	c := qt.New(t)
	slow := func(conn net.Conn, req *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(largeBody), largeBody[:maxBufferedBytes+5000])
		time.Sleep(2 * minResponseTimeout)
		_, _ = io.WriteString(conn, largeBody[maxBufferedBytes+5000:])
		return true
	}
	b := newFixture(t, handlers{slow}, handlers{respond(200, "other")})
	res, sink := b.do(idempotent, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)
	c.Assert(res.Runs, qt.Equals, 1)
	c.Assert(sink.body.String() == largeBody, qt.IsTrue)
}
