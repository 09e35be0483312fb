package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/configuration"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/engine"
)

// balancerPollInterval is how often the simulated load balancer polls the readiness of the routers.
const balancerPollInterval = 100 * time.Millisecond

// mixedRequest sends a chat, a status check or a debit, in turn.
func mixedRequest(ctx context.Context, c *Client, n int64) (Response, error) {
	switch n % 3 {
	case 0:
		return c.Chat(ctx, chatRequest(fmt.Sprintf("chat %d", n%40)))
	case 1:
		return c.CallPlain(ctx, http.MethodGet, "status", "/trips", "", nil)
	}
	return c.CallPlain(ctx, http.MethodPost, "debit", "/fees", fmt.Sprintf("fee %d", n), nil)
}

func TestRollingRestartFailsNoRequests(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 3, Engines: 3, PlainServices: 3, DecodeRate: 100, NoticeTime: time.Second})
	loadCtx, stopLoad := context.WithCancel(ctx)
	l := &Load{Callers: 24, URLs: f.ReadyURLs(ctx, balancerPollInterval), Request: mixedRequest}
	result := make(chan LoadResult, 1)
	go func() { result <- l.Run(loadCtx) }()
	time.Sleep(500 * time.Millisecond)
	for _, u := range f.Upstreams() {
		c.Assert(u.Side.Restart(ctx), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
	}
	for _, r := range f.Routers {
		c.Assert(r.Restart(ctx), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
	}
	stopLoad()
	got := <-result
	c.Assert(got.Failed, qt.Equals, int64(0), qt.Commentf("%d sent\n%v\n%s", got.Sent, got.Failures, f.failedAttempts()))
	c.Assert(got.Sent > 500, qt.IsTrue, qt.Commentf("%d sent", got.Sent))
}

// failedAttempts returns the lines of all processes that explain a failed request in rolling restarts.
func (f *Fleet) failedAttempts() string {
	var b strings.Builder
	var processes []*Process
	for _, r := range f.Routers {
		processes = append(processes, r.Process)
	}
	for _, u := range f.Upstreams() {
		processes = append(processes, u.Side)
	}
	for _, p := range processes {
		for _, line := range strings.Split(p.Log(), "\n") {
			for _, text := range []string{"attempt failed", "side leaving", "side drained", "stopping"} {
				if strings.Contains(line, text) {
					fmt.Fprintf(&b, "%s: %s\n", p.Name, line)
				}
			}
		}
	}
	return b.String()
}

func TestStoppedRouterFinishesOpenRequests(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 2, DecodeRate: 30})
	req := chatRequest("A long letter")
	req.MaxTokens = 60
	result := make(chan Response, 1)
	go func() {
		res, err := client(t, f.Routers[0].URL).Chat(ctx, req)
		qt.Check(t, err, qt.IsNil)
		result <- res
	}()
	time.Sleep(500 * time.Millisecond)
	c.Assert(f.Routers[0].Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	c.Assert(f.Routers[0].isReady(ctx), qt.IsFalse)
	res := <-result
	c.Assert(res.Complete, qt.IsTrue, qt.Commentf("%+v", res))
	c.Assert(res.Tokens, qt.Equals, 60)
}

// TestHangupEndsProcess guards against a signal that asks for a reload and ends the process with its open requests.
func TestHangupEndsProcess(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, DecodeRate: 30})
	req := chatRequest("A letter")
	req.MaxTokens = 30
	result := make(chan Response, 1)
	go func() {
		res, err := client(t, f.Routers[0].URL).Chat(ctx, req)
		qt.Check(t, err, qt.IsNil)
		result <- res
	}()
	time.Sleep(500 * time.Millisecond)
	for _, p := range []*Process{f.Routers[0].Process, f.Engines[0].Side} {
		c.Assert(p.Signal(syscall.SIGHUP), qt.IsNil)
	}
	res := <-result
	c.Assert(res.Complete, qt.IsTrue, qt.Commentf("%+v", res))
}

// TestSecondSignalCutsRequests guards against a stop that is cut short by another signal to stop or by one to reload.
func TestSecondSignalCutsRequests(t *testing.T) {
	for _, second := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(second.String(), func(t *testing.T) {
			c := qt.New(t)
			ctx := testContext(t)
			f := start(t, Options{Routers: 1, Engines: 2, DecodeRate: 30})
			req := chatRequest("A long letter")
			req.MaxTokens = 60
			result := make(chan Response, 1)
			go func() {
				res, err := client(t, f.Routers[0].URL).Chat(ctx, req)
				qt.Check(t, err, qt.IsNil)
				result <- res
			}()
			time.Sleep(500 * time.Millisecond)
			for _, p := range []*Process{busyEngine(ctx, t, f).Side, f.Routers[0].Process} {
				c.Assert(p.Signal(syscall.SIGTERM), qt.IsNil)
				time.Sleep(50 * time.Millisecond)
				c.Assert(p.Signal(second), qt.IsNil)
			}
			res := <-result
			c.Assert(res.Complete, qt.IsTrue, qt.Commentf("%+v", res))
			c.Assert(res.Tokens, qt.Equals, 60)
		})
	}
}

// startedChats returns the number of chats that an engine has started.
func startedChats(ctx context.Context, t *testing.T, u *Upstream) int64 {
	t.Helper()
	var counts engine.Counts
	qt.Assert(t, Get(ctx, u.URL+"/counts", &counts), qt.IsNil)
	return counts.Started
}

// leavingTimeout bounds the time in which an upstream that is listed as leaving may still get new work.
const leavingTimeout = 3 * time.Second

func TestUpstreamListedAsLeavingGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 3, DecodeRate: 400})
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	l := &Load{
		Callers: 8,
		URLs:    f.ReadyURLs(ctx, balancerPollInterval),
		Request: func(ctx context.Context, cl *Client, n int64) (Response, error) {
			return cl.Chat(ctx, chatRequest(fmt.Sprintf("chat %d", n%60)))
		},
	}
	result := make(chan LoadResult, 1)
	go func() { result <- l.Run(loadCtx) }()
	time.Sleep(time.Second)
	// One router is paused while the list changes, and must not act on its stale list when it resumes.
	c.Assert(f.Routers[1].Pause(ctx), qt.IsNil)
	vms := f.LiveVMs()
	leaving := f.Engines[0]
	for i := range vms {
		if vms[i].Address == leaving.Peer {
			vms[i].State = configuration.VMLeaving
		}
	}
	c.Assert(f.SetVMs(ctx, vms), qt.IsNil)
	time.Sleep(leavingTimeout)
	before := startedChats(ctx, t, leaving)
	c.Assert(f.Routers[1].Resume(), qt.IsNil)
	time.Sleep(2 * time.Second)
	c.Assert(startedChats(ctx, t, leaving), qt.Equals, before)
	stopLoad()
	got := <-result
	c.Assert(got.Failed, qt.Equals, int64(0), qt.Commentf("%v", got.Failures))
}

func TestStoppingSideGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 3, DecodeRate: 30})
	long := chatRequest("A long letter")
	long.MaxTokens = 90
	result := make(chan Response, 1)
	go func() {
		res, err := client(t, f.Routers[0].URL).Chat(ctx, long)
		qt.Check(t, err, qt.IsNil)
		result <- res
	}()
	time.Sleep(500 * time.Millisecond)
	// The side runs until the long answer is complete.
	leaving := busyEngine(ctx, t, f)
	c.Assert(leaving.Side.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(200 * time.Millisecond)
	before := startedChats(ctx, t, leaving)
	for i := range 60 {
		req := chatRequest(fmt.Sprintf("chat %d", i))
		req.MaxTokens = 1
		res, err := client(t, f.Routers[i%2].URL).Chat(ctx, req)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Complete, qt.IsTrue, qt.Commentf("%+v", res))
	}
	c.Assert(startedChats(ctx, t, leaving), qt.Equals, before)
	res := <-result
	c.Assert(res.Complete, qt.IsTrue, qt.Commentf("%+v", res))
	c.Assert(res.Upstream, qt.Equals, string(leaving.ID))
}

// TestRetriesStayBoundedWhenAllEnginesFail guards against retries that multiply the load while every engine fails: they may
// add at most a fifth.
func TestRetriesStayBoundedWhenAllEnginesFail(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 3, DecodeRate: 1000})
	for _, u := range f.Engines {
		c.Assert(Post(ctx, u.URL+"/faults", engine.Faults{CutAfter: 1}, nil), qt.IsNil)
	}
	const calls = 600
	cl := client(t, f.Routers[0].URL)
	for i := range calls {
		res, err := cl.Chat(ctx, chatRequest(fmt.Sprintf("chat %d", i)))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Complete, qt.IsFalse)
	}
	total := int64(0)
	for _, u := range f.Engines {
		total += startedChats(ctx, t, u)
	}
	c.Assert(float64(total)/calls <= 1.2, qt.IsTrue, qt.Commentf("%d starts for %d calls", total, calls))
}

// TestRefusedRequestGetsRetryAfterAtOnce sends more requests than an upstream may run and queue. The refused ones must fail
// within a second, with a Retry-After header and without a run.
func TestRefusedRequestGetsRetryAfterAtOnce(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, DecodeRate: 20, EditDeclarations: func(d *settings.Declarations) {
		s := d.Services[ModelService]
		s.MaxRunning = 1
		s.MaxQueued = 1
		d.Services[ModelService] = s
	}})
	cl := client(t, f.Routers[0].URL)
	responses := make(chan Response, 12)
	for i := range cap(responses) {
		go func() {
			res, _ := cl.Chat(ctx, chatRequest(fmt.Sprintf("chat %d", i)))
			responses <- res
		}()
	}
	refusals := 0
	for range cap(responses) {
		res := <-responses
		if res.Status == http.StatusOK {
			continue
		}
		refusals++
		c.Assert(res.Outcome, qt.Equals, "not_run", qt.Commentf("%+v", res))
		c.Assert(res.RetryAfter, qt.Not(qt.Equals), "")
		c.Assert(res.Duration < time.Second, qt.IsTrue, qt.Commentf("%+v", res))
	}
	c.Assert(refusals > 0, qt.IsTrue)
	var counts engine.Counts
	c.Assert(Get(ctx, f.Engines[0].URL+"/counts", &counts), qt.IsNil)
	c.Assert(counts.Started, qt.Equals, int64(cap(responses)-refusals))
}
