package direct

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
)

// TestRepeatedRefusalIsTakenForAnAnswer guards against an upstream that writes an earlier refusal once more on a kept connection: the client
// of a request that runs must not be told that it was not run, nor may the request run elsewhere too.
func TestRepeatedRefusalIsTakenForAnAnswer(t *testing.T) {
	refuse := func(id string, times int) func(net.Conn) {
		return func(conn net.Conn) {
			for range times {
				writeResponse(conn, id, 503, "", "Not-Run: 1")
			}
		}
	}
	answer := func(conn net.Conn, req *http.Request) { writeResponse(conn, req.Header.Get("Id"), 200, "ran") }
	tests := []struct {
		name   string
		second func(conn net.Conn, req *http.Request) bool
		want   peer.Outcome
		body   string
	}{
		{"before the answer", func(conn net.Conn, req *http.Request) bool {
			refuse("r1", 1)(conn)
			answer(conn, req)
			return true
		}, peer.OutcomeDone, "ran"},
		{"while the request runs", func(conn net.Conn, req *http.Request) bool {
			refuse("r1", 2)(conn)
			time.Sleep(50 * time.Millisecond)
			answer(conn, req)
			return true
		}, peer.OutcomeDone, "ran"},
		{"without an id", func(conn net.Conn, req *http.Request) bool {
			refuse("", 1)(conn)
			answer(conn, req)
			return true
		}, peer.OutcomeDone, "ran"},
		{"and no answer", func(conn net.Conn, req *http.Request) bool {
			refuse("r1", 1)(conn)
			return false
		}, peer.OutcomeUnknown, ""},
		{"again and again", func(conn net.Conn, req *http.Request) bool {
			refuse("r1", 100)(conn)
			return true
		}, peer.OutcomeUnknown, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			runs := 0
			second := func(conn net.Conn, req *http.Request) bool {
				runs++
				return tt.second(conn, req)
			}
			b := newFixture(t, handlers{respond(503, "", "Not-Run: 1"), second})
			res, _ := b.do(once, "r1")
			c.Assert(res.Outcome, qt.Equals, peer.OutcomeNotRun)
			res, sink := b.do(once, "r2")
			c.Assert(res.Outcome, qt.Equals, tt.want)
			c.Assert(sink.body.String(), qt.Equals, tt.body)
			c.Assert(res.Runs, qt.Equals, 1)
			c.Assert(runs, qt.Equals, 1)
		})
	}
}

// TestRefusedRequestReturnsToItsUpstream guards against a refusal written once more that cannot be told from the answer, since the request
// came again.
func TestRefusedRequestReturnsToItsUpstream(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(503, "", "Not-Run: 1"), respond(200, "again")})
	res, _ := b.do(idempotent, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeNotRun)
	c.Assert(b.upstreams[0].requests(), qt.HasLen, 1)
}
