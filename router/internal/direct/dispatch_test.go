package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/outlier"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/waiting"
	"rattantrack.dev/router/internal/upstream"
)

// testDialect uses header fields of the test's own.
type testDialect struct{}

func (testDialect) WriteAttempt(h http.Header, a call.Attempt) {
	h.Set("Want", string(a.Upstream))
	h.Set("Rank", fmt.Sprint(a.Rank))
	if a.LastEvent != "" {
		h.Set("Resume", string(a.LastEvent))
	}
}

func (testDialect) ReadAnswer(status int, h http.Header) call.Answer {
	return call.Answer{
		ID: call.ID(h.Get("Id")), NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// fakeUpstream answers each request with the next of its scripts, the last one again and again.
type fakeUpstream struct {
	mu      sync.Mutex
	scripts []func(conn net.Conn, req *http.Request) (keep bool)
	seen    []*http.Request
	ln      net.Listener
}

func (u *fakeUpstream) next(req *http.Request) func(net.Conn, *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = append(u.seen, req)
	s := u.scripts[0]
	if len(u.scripts) > 1 {
		u.scripts = u.scripts[1:]
	}
	return s
}

func (u *fakeUpstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen
}

func (u *fakeUpstream) serve() {
	for {
		conn, err := u.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if !u.next(req)(conn, req) {
					return
				}
			}
		}()
	}
}

// answer writes a whole answer to a request.
func answer(status int, body string, fields ...string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, req *http.Request) bool {
		writeAnswer(conn, req.Header.Get("Id"), status, body, fields...)
		return true
	}
}

func writeAnswer(conn net.Conn, id string, status int, body string, fields ...string) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nContent-Length: %d\r\n", status, id, len(body))
	for _, f := range fields {
		head += f + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body)
}

// events writes events of a stream from the one after Resume, up to last; whole says that the stream ends properly.
func events(last int, whole bool) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, req *http.Request) bool {
		from, _ := strconv.Atoi(req.Header.Get("Resume"))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
		for i := from + 1; i <= last; i++ {
			e := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return true
		}
		// The connection ends within an event.
		_, _ = io.WriteString(conn, "5\r\nid: 9\r\n")
		return false
	}
}

func hangUp(net.Conn, *http.Request) bool { return false }

// memorySink keeps an answer.
type memorySink struct {
	status int
	body   strings.Builder
}

func (s *memorySink) WriteHead(status int, _ http.Header, _ int64) error {
	s.status = status
	return nil
}

func (s *memorySink) Write(data []byte, _ bool) error {
	s.body.Write(data)
	return nil
}

type warmCache struct{}

func (warmCache) Wait(context.Context, time.Duration) {}

// bench is a dispatcher with upstreams.
type bench struct {
	*Dispatcher
	upstreams []*fakeUpstream
}

// newBench starts one upstream for each list of scripts. The first one is the nearest, so it gets the first attempt.
func newBench(t *testing.T, scripts ...[]func(net.Conn, *http.Request) bool) *bench {
	t.Helper()
	c := qt.New(t)
	b := &bench{Dispatcher: &Dispatcher{
		DataCentre: "kano", Members: &members.Registry{}, InFlight: &inflight.Tracker{}, Affinity: &affinity.Index{},
		Outliers: &outlier.Detector{}, Unresponsive: &unresponsive.Detector{}, Queues: &waiting.Queues{},
		Budget:      &retry.FleetBudget{Limits: retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}},
		Connections: &upstream.Pool{Dialect: testDialect{}},
		Dialect:     testDialect{}, Warmup: warmCache{}, Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: tally.NoopScope,
	}}
	var list []members.Change
	for i, s := range scripts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		u := &fakeUpstream{scripts: s, ln: ln}
		t.Cleanup(func() { _ = ln.Close() })
		go u.serve()
		b.upstreams = append(b.upstreams, u)
		id := settings.UpstreamID(fmt.Sprintf("u%d", i))
		dc := settings.DataCentre("kano")
		if i > 0 {
			dc = "jos"
		}
		list = append(list, members.Change{ID: id, Revision: 1, Instance: members.Instance{
			ID: id, Service: "desk", Address: ln.Addr().String(), DataCentre: dc, Slots: 4,
		}})
	}
	b.Members.Replace(clock.Boot{}.Now(), 1, list)
	return b
}

func (b *bench) do(terms settings.Route, id string) (Result, *memorySink) {
	now := b.Clock.Now()
	terms.Timeout = 3 * time.Second
	r := &Request{Request: call.Request{ID: call.ID(id)}, RouteConfig: terms, Service: "desk", Arrived: now, Deadline: now.Add(terms.Timeout)}
	r.Outbound = upstream.Request{ID: r.ID, Method: http.MethodGet, URI: "/a/b?c=d", Host: "h.example", Header: http.Header{"Id": {id}}}
	sink := &memorySink{}
	return b.Do(context.Background(), r, sink), sink
}

var (
	safe      = settings.Route{Kind: settings.RouteIdempotent, Attempts: 2}
	once      = settings.Route{Kind: settings.RouteOnce, Attempts: 2}
	resumable = settings.Route{Kind: settings.RouteStream, Resumable: true, Attempts: 2}
	fragile   = settings.Route{Kind: settings.RouteStream, Attempts: 2}
)

type script = []func(net.Conn, *http.Request) bool

func TestOutcomes(t *testing.T) {
	notRun := answer(503, "", "Not-Run: 1")
	tests := []struct {
		name          string
		terms         settings.Route
		first, second script
		outcome       peer.Outcome
		code          string
		status, runs  int
		body          string
	}{
		{"whole", once, script{answer(200, "ok")}, script{hangUp}, peer.OutcomeDone, "", 200, 1, "ok"},
		{"a lost answer is repeated where that is allowed", safe, script{hangUp}, script{answer(200, "ok")}, peer.OutcomeDone, "", 200, 2, "ok"},
		{"a lost answer is not repeated otherwise", once, script{hangUp}, script{answer(200, "ok")}, peer.OutcomeUnknown, CodeLost, 0, 1, ""},
		{"a request that was not run goes elsewhere", once, script{notRun}, script{answer(200, "ok")}, peer.OutcomeDone, "", 200, 1, "ok"},
		{"refused by all", once, script{notRun}, script{notRun}, peer.OutcomeNotRun, CodeNoUpstream, 0, 0, ""},
		{"another instance has the address", once, script{answer(421, "")}, script{answer(200, "ok")}, peer.OutcomeDone, "", 200, 1, "ok"},
		{"a failure is repeated where that is allowed", safe, script{answer(500, "no")}, script{answer(200, "ok")}, peer.OutcomeDone, "", 200, 2, "ok"},
		{"the upstream's failure is passed on", once, script{answer(500, "no")}, script{answer(200, "ok")}, peer.OutcomeDone, CodeUpstream, 500, 1, "no"},
		{"the last failure is passed on", safe, script{answer(500, "no")}, script{answer(500, "no")}, peer.OutcomeDone, CodeUpstream, 500, 2, "no"},
		{"a stream goes on where it broke off", resumable, script{events(2, false)}, script{events(4, true)}, peer.OutcomeDone, "", 200, 2,
			"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"},
		{"a stream that cannot be resumed ends", fragile, script{events(2, false)}, script{events(4, true)}, peer.OutcomeUnknown, CodeCut, 200, 1,
			"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"},
		{"bytes that are no answer", safe, script{func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "garbage\r\n\r\n")
			return false
		}}, script{answer(200, "ok")}, peer.OutcomeDone, "", 200, 2, "ok"},
		{"a body that is cut short", safe, script{func(conn net.Conn, req *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nhalf", req.Header.Get("Id"))
			return false
		}}, script{answer(200, "ok")}, peer.OutcomeDone, "", 200, 2, "ok"},
		{"a refusal without the statement may have run", once, script{answer(503, "busy")}, script{answer(200, "ok")}, peer.OutcomeUnknown, CodeLost, 0, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(t, tt.first, tt.second)
			res, sink := b.do(tt.terms, "r1")
			c.Assert(res.Outcome, qt.Equals, tt.outcome)
			c.Assert(res.Code, qt.Equals, tt.code)
			c.Assert(sink.status, qt.Equals, tt.status)
			c.Assert(res.Runs, qt.Equals, tt.runs)
			c.Assert(sink.body.String(), qt.Equals, tt.body)
			if tt.outcome == peer.OutcomeNotRun {
				c.Assert(res.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

// TestAnswerToAnotherRequestIsSkipped replays an upstream that answers a request twice, the second time where the answer
// to the next request is due.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, script{
		answer(200, "first"),
		func(conn net.Conn, req *http.Request) bool {
			writeAnswer(conn, "r1", 200, "first again")
			writeAnswer(conn, req.Header.Get("Id"), 200, "second")
			return true
		},
	})
	for id, want := range map[string]string{"r1": "first"} {
		_, sink := b.do(once, id)
		c.Assert(sink.body.String(), qt.Equals, want)
	}
	res, sink := b.do(once, "r2")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)
	c.Assert(sink.body.String(), qt.Equals, "second")
}

// TestBytesAfterAnAnswerEndTheConnection replays an upstream that sends more than its answer: the bytes belong to no
// request, so the next one gets a new connection.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, script{
		func(conn net.Conn, req *http.Request) bool {
			writeAnswer(conn, req.Header.Get("Id"), 200, "first")
			writeAnswer(conn, "", 200, "more")
			return true
		},
		answer(200, "second"),
	})
	_, sink := b.do(once, "r1")
	c.Assert(sink.body.String(), qt.Equals, "first")
	// The surplus bytes have arrived once the upstream has read nothing for a while.
	time.Sleep(50 * time.Millisecond)
	_, sink = b.do(once, "r2")
	c.Assert(sink.body.String(), qt.Equals, "second")
}

func TestNoUpstreamIsRefusedSoon(t *testing.T) {
	c := qt.New(t)
	b := newBench(t)
	res, _ := b.do(once, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeNotRun)
	c.Assert(res.Code, qt.Equals, CodeNoUpstream)
	c.Assert(res.RetryAfter, qt.Equals, defaultRetryAfter)
}

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, script{answer(200, "ok")})
	b.do(once, "r1")
	req := b.upstreams[0].requests()[0]
	c.Assert(req.RequestURI, qt.Equals, "/a/b?c=d")
	c.Assert(req.Host, qt.Equals, "h.example")
	c.Assert(req.Header.Get("Want"), qt.Equals, "u0")
}

func TestUpstreamLearnsTheRank(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, script{answer(200, "ok")})
	now := b.Clock.Now()
	r := &Request{Request: call.Request{ID: "r1"}, RouteConfig: once, Service: "desk", Rank: 3, Arrived: now, Deadline: now.Add(time.Second)}
	r.Outbound = upstream.Request{ID: r.ID, Method: http.MethodGet, URI: "/a/b", Host: "h.example", Header: http.Header{"Id": {"r1"}}}
	b.Do(context.Background(), r, &memorySink{})
	c.Assert(b.upstreams[0].requests()[0].Header.Get("Rank"), qt.Equals, "3")
}

// TestFullServiceKeepsRequestsWaiting replays more requests at one moment than the upstream may hold: all that can be
// served within their objective are, and none is sent beyond the room.
func TestFullServiceKeepsRequestsWaiting(t *testing.T) {
	c := qt.New(t)
	const room, all = 8, 24
	var mu sync.Mutex
	open, most := 0, 0
	b := newBench(t, script{func(conn net.Conn, req *http.Request) bool {
		mu.Lock()
		open++
		most = max(most, open)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		open--
		mu.Unlock()
		writeAnswer(conn, req.Header.Get("Id"), 200, "ok")
		return true
	}})
	terms := once
	terms.Objective = 2 * time.Second
	var wg sync.WaitGroup
	results := make([]Result, all)
	for i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], _ = b.do(terms, fmt.Sprintf("r%d", i))
		}()
	}
	wg.Wait()
	for _, res := range results {
		c.Check(res.Outcome, qt.Equals, peer.OutcomeDone)
	}
	// Placing and counting are two steps, so requests of one moment may pass the room by a few.
	c.Assert(most <= 2*room, qt.IsTrue, qt.Commentf("%d at once", most))
}

// TestWatchThatHasFiredIsReported replays an answer that ends at the moment at which the watch gives the attempt up: its
// connection is about to be closed, so it must not carry another request.
func TestWatchThatHasFiredIsReported(t *testing.T) {
	c := qt.New(t)
	fired := make(chan struct{})
	w := &watch{timer: time.AfterFunc(0, func() { close(fired) })}
	<-fired
	c.Assert(w.Stop(), qt.IsTrue)
	w = &watch{timer: time.AfterFunc(time.Hour, func() {})}
	c.Assert(w.Stop(), qt.IsFalse)
	c.Assert((&watch{}).Stop(), qt.IsFalse)
}

// TestSilentUpstreamGetsNoFurtherRequests replays an upstream that goes dark while its connections stay open: requests
// that come while another one waits there go elsewhere.
func TestSilentUpstreamGetsNoFurtherRequests(t *testing.T) {
	c := qt.New(t)
	hold := make(chan struct{})
	b := newBench(t, script{func(net.Conn, *http.Request) bool { <-hold; return false }}, script{answer(200, "ok")}, script{answer(200, "ok")})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		b.do(once, "r1")
	}()
	ids := []settings.UpstreamID{"u0", "u1", "u2"}
	for !b.Unresponsive.Unresponsive(b.Clock.Now(), ids)[0] {
		time.Sleep(10 * time.Millisecond)
	}
	for n := range 10 {
		res, _ := b.do(once, fmt.Sprintf("r%d", n+2))
		c.Check(res.Outcome, qt.Equals, peer.OutcomeDone)
	}
	c.Assert(b.upstreams[0].requests(), qt.HasLen, 1)
	close(hold)
	wg.Wait()
}
