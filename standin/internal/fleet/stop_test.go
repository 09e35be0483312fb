package fleet

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/configuration"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/engine"
)

// balancerPoll is how often the test's balancer asks who is ready.
const balancerPoll = 100 * time.Millisecond

// mixed sends chats, status checks and debits in turn.
func mixed(ctx context.Context, c *Client, n int64) (Answer, error) {
	switch n % 3 {
	case 0:
		return c.Chat(ctx, question(fmt.Sprintf("chat %d", n%40)))
	case 1:
		return c.Plain(ctx, http.MethodGet, "status", "/trips", "", nil)
	}
	return c.Plain(ctx, http.MethodPost, "debit", "/fees", fmt.Sprintf("fee %d", n), nil)
}

func TestRollingRestartOfEverythingFailsNoRequest(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 3, Engines: 3, Plains: 3, DecodeRate: 100, NoticeTime: time.Second})
	loadCtx, stopLoad := context.WithCancel(ctx)
	l := &Load{Callers: 24, URLs: f.ReadyURLs(ctx, balancerPoll), Request: mixed}
	tally := make(chan Tally, 1)
	go func() { tally <- l.Run(loadCtx) }()
	time.Sleep(500 * time.Millisecond)
	for _, u := range f.Units() {
		c.Assert(u.Side.Restart(ctx), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
	}
	for _, e := range f.Routers {
		c.Assert(e.Restart(ctx), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
	}
	stopLoad()
	got := <-tally
	c.Assert(got.Failed, qt.Equals, int64(0), qt.Commentf("%d sent\n%v", got.Sent, got.Words))
	c.Assert(got.Sent > 500, qt.IsTrue, qt.Commentf("%d sent", got.Sent))
}

func TestStoppedRouterFinishesWhatItHas(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 2, DecodeRate: 30})
	q := question("A long letter")
	q.MaxTokens = 60
	result := make(chan Answer, 1)
	go func() {
		a, err := client(t, f.Routers[0].URL).Chat(ctx, q)
		qt.Check(t, err, qt.IsNil)
		result <- a
	}()
	time.Sleep(500 * time.Millisecond)
	c.Assert(f.Routers[0].Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	c.Assert(f.Routers[0].isReady(ctx), qt.IsFalse)
	a := <-result
	c.Assert(a.Whole, qt.IsTrue, qt.Commentf("%+v", a))
	c.Assert(a.Tokens, qt.Equals, 60)
}

// started returns how many chats an engine has begun.
func started(ctx context.Context, t *testing.T, u *Unit) int64 {
	t.Helper()
	var n engine.Counts
	qt.Assert(t, Get(ctx, u.URL+"/counts", &n), qt.IsNil)
	return n.Started
}

// leavingLimit is the brief's bound on new work at a leaving upstream.
const leavingLimit = 3 * time.Second

func TestUpstreamListedAsLeavingGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 3, DecodeRate: 400})
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	l := &Load{Callers: 8, URLs: f.ReadyURLs(ctx, balancerPoll), Request: func(ctx context.Context, cl *Client, n int64) (Answer, error) {
		return cl.Chat(ctx, question(fmt.Sprintf("chat %d", n%60)))
	}}
	tally := make(chan Tally, 1)
	go func() { tally <- l.Run(loadCtx) }()
	time.Sleep(time.Second)
	// One router sleeps through the news and must not trust its old view when it wakes.
	c.Assert(f.Routers[1].Pause(ctx), qt.IsNil)
	vms := f.LiveVMs()
	leaving := f.Engines[0]
	for i := range vms {
		if vms[i].Address == leaving.Peer {
			vms[i].State = configuration.VMLeaving
		}
	}
	c.Assert(f.SetVMs(ctx, vms), qt.IsNil)
	time.Sleep(leavingLimit)
	before := started(ctx, t, leaving)
	c.Assert(f.Routers[1].Resume(), qt.IsNil)
	time.Sleep(2 * time.Second)
	c.Assert(started(ctx, t, leaving), qt.Equals, before)
	stopLoad()
	got := <-tally
	c.Assert(got.Failed, qt.Equals, int64(0), qt.Commentf("%v", got.Words))
}

func TestSideThatLeavesGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 3, DecodeRate: 30})
	long := question("A long letter")
	long.MaxTokens = 90
	result := make(chan Answer, 1)
	go func() {
		a, err := client(t, f.Routers[0].URL).Chat(ctx, long)
		qt.Check(t, err, qt.IsNil)
		result <- a
	}()
	time.Sleep(500 * time.Millisecond)
	// The side stays until the long answer is whole.
	leaving := busy(ctx, t, f)
	c.Assert(leaving.Side.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(200 * time.Millisecond)
	before := started(ctx, t, leaving)
	for i := range 60 {
		q := question(fmt.Sprintf("chat %d", i))
		q.MaxTokens = 1
		a, err := client(t, f.Routers[i%2].URL).Chat(ctx, q)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Whole, qt.IsTrue, qt.Commentf("%+v", a))
	}
	c.Assert(started(ctx, t, leaving), qt.Equals, before)
	a := <-result
	c.Assert(a.Whole, qt.IsTrue, qt.Commentf("%+v", a))
	c.Assert(a.Upstream, qt.Equals, string(leaving.ID))
}

func TestFailureOfTheWholeFleetMultipliesNoLoad(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 3, DecodeRate: 1000})
	for _, u := range f.Engines {
		c.Assert(Post(ctx, u.URL+"/faults", engine.Faults{CutAfter: 1}, nil), qt.IsNil)
	}
	const calls = 600
	cl := client(t, f.Routers[0].URL)
	for i := range calls {
		a, err := cl.Chat(ctx, question(fmt.Sprintf("chat %d", i)))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Whole, qt.IsFalse)
	}
	total := int64(0)
	for _, u := range f.Engines {
		total += started(ctx, t, u)
	}
	c.Assert(float64(total)/calls <= 1.2, qt.IsTrue, qt.Commentf("%d starts for %d calls", total, calls))
}

func TestGivenUpRequestIsAnsweredAtOnceWithWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, DecodeRate: 20, Declare: func(f *settings.Declarations) {
		s := f.Services[ModelService]
		s.MaxRunning = 1
		s.MaxQueued = 1
		f.Services[ModelService] = s
	}})
	cl := client(t, f.Routers[0].URL)
	refused := make(chan Answer, 12)
	for i := range cap(refused) {
		go func() {
			a, _ := cl.Chat(ctx, question(fmt.Sprintf("chat %d", i)))
			refused <- a
		}()
	}
	n := 0
	for range cap(refused) {
		a := <-refused
		if a.Status == http.StatusOK {
			continue
		}
		n++
		c.Assert(a.Outcome, qt.Equals, "not_run", qt.Commentf("%+v", a))
		c.Assert(a.RetryAfter, qt.Not(qt.Equals), "")
		c.Assert(a.Took < time.Second, qt.IsTrue, qt.Commentf("%+v", a))
	}
	c.Assert(n > 0, qt.IsTrue)
	var counts engine.Counts
	c.Assert(Get(ctx, f.Engines[0].URL+"/counts", &counts), qt.IsNil)
	c.Assert(counts.Started, qt.Equals, int64(cap(refused)-n))
}
