package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/engine"
	"rattantrack.dev/standin/internal/plain"
)

// keyLifetime is short enough to be waited for in a test.
const keyLifetime = 3 * time.Second

// shortKeys lets keys be forgotten soon, so that sides soon vouch for their keys.
func shortKeys(f *settings.Declarations) {
	s := f.Services[PlainService]
	s.KeyLifetime = keyLifetime
	f.Services[PlainService] = s
}

func key(name string) http.Header {
	return http.Header{"Idempotency-Key": []string{name}}
}

func ticketHeader(text string) http.Header {
	return http.Header{"Rattantrack-Ticket": []string{text}}
}

// runsOf counts how often a body was run over all plain services.
func runsOf(ctx context.Context, t *testing.T, f *Fleet, body string) int {
	t.Helper()
	n := 0
	for _, u := range f.Plains {
		var runs []plain.Run
		qt.Assert(t, Get(ctx, u.URL+"/runs", &runs), qt.IsNil)
		for _, r := range runs {
			if r.Body == body {
				n++
			}
		}
	}
	return n
}

// homeOf returns the unit that is home of a caller's key.
func homeOf(f *Fleet, name string) *Unit {
	var ids []settings.UpstreamID
	for _, u := range f.Plains {
		ids = append(ids, u.ID)
	}
	full := fmt.Sprintf("%s\x00debit\x00%s", Team, name)
	home, _ := rendezvous.New(ids).Primary(outcome.HashKey(full))
	for _, u := range f.Plains {
		if u.ID == home {
			return u
		}
	}
	return nil
}

// vouching waits until the sides are old enough to vouch for keys.
func vouching(ctx context.Context, t *testing.T, f *Fleet) {
	t.Helper()
	cl := client(t, f.Routers[0].URL)
	for i := 0; ; i++ {
		ready := true
		for j := range 8 {
			name := fmt.Sprintf("warm-%d-%d", i, j)
			a, err := cl.Plain(ctx, http.MethodPost, "debit", "/warm", name, key(name))
			qt.Assert(t, err, qt.IsNil)
			ready = ready && a.Status == http.StatusOK
		}
		if ready {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func plainFaults(ctx context.Context, t *testing.T, f *Fleet, faults plain.Faults) {
	t.Helper()
	for _, u := range f.Plains {
		qt.Assert(t, Post(ctx, u.URL+"/faults", faults, nil), qt.IsNil)
	}
}

func TestSameKeyAtTwoRoutersAtOnceRunsOnce(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Plains: 3, Declare: shortKeys})
	vouching(ctx, t, f)
	plainFaults(ctx, t, f, plain.Faults{DelayMS: 200})
	var wg sync.WaitGroup
	answers := make([]Answer, 8)
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := client(t, f.Routers[i%2].URL).Plain(ctx, http.MethodPost, "debit", "/fees", "fee 7", key("fee-7"))
			qt.Check(t, err, qt.IsNil)
			answers[i] = a
		}()
	}
	wg.Wait()
	for _, a := range answers {
		c.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
		c.Assert(a.Text, qt.Equals, answers[0].Text)
	}
	c.Assert(runsOf(ctx, t, f, "fee 7"), qt.Equals, 1)

	a, err := client(t, f.Routers[0].URL).Plain(ctx, http.MethodPost, "debit", "/fees", "fee 8", key("fee-7"))
	c.Assert(err, qt.IsNil)
	c.Assert([]any{a.Status, a.Code}, qt.DeepEquals, []any{http.StatusUnprocessableEntity, "key_reused"})
}

func TestRouterKilledAfterTheHandOver(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Plains: 3, Declare: shortKeys})
	vouching(ctx, t, f)
	plainFaults(ctx, t, f, plain.Faults{DelayMS: 500})
	done := make(chan error, 1)
	go func() {
		_, err := client(t, f.Routers[0].URL).Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
		done <- err
	}()
	time.Sleep(150 * time.Millisecond)
	_ = f.Routers[0].Kill()
	c.Assert(<-done, qt.IsNotNil)
	a, err := client(t, f.Routers[1].URL).Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
	c.Assert(runsOf(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestSideKilledAroundTheRunNeverRunsAKeyTwice(t *testing.T) {
	tests := map[string]time.Duration{
		"in the run":    200 * time.Millisecond,
		"after the run": 900 * time.Millisecond,
	}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := testContext(t)
			f := start(t, Options{Routers: 2, Plains: 3, Declare: func(f *settings.Declarations) {
				s := f.Services[PlainService]
				s.KeyLifetime = 2 * keyLifetime
				f.Services[PlainService] = s
			}})
			vouching(ctx, t, f)
			plainFaults(ctx, t, f, plain.Faults{DelayMS: 500})
			home := homeOf(f, "fee-1")
			first := make(chan Answer, 1)
			go func() {
				a, _ := client(t, f.Routers[0].URL).Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
				first <- a
			}()
			time.Sleep(delay)
			_ = home.Side.Kill()
			c.Assert(home.Side.Start(ctx), qt.IsNil)
			cl := client(t, f.Routers[1].URL)
			// The new process hears the other sides within a second, and must still not trust its empty table.
			for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(100 * time.Millisecond) {
				a, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
				c.Assert(err, qt.IsNil)
				c.Assert(a.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
				c.Assert(a.RetryAfter, qt.Not(qt.Equals), "")
			}
			<-first
			c.Assert(runsOf(ctx, t, f, "fee 1"), qt.Equals, 1)
		})
	}
}

func TestPlannedRestartOfTheHomeKeepsItsAnswers(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Plains: 3, Declare: func(f *settings.Declarations) {
		s := f.Services[PlainService]
		s.KeyLifetime = 8 * time.Second
		f.Services[PlainService] = s
	}})
	vouching(ctx, t, f)
	cl := client(t, f.Routers[0].URL)
	first, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Status, qt.Equals, http.StatusOK)
	c.Assert(homeOf(f, "fee-1").Side.Restart(ctx), qt.IsNil)
	again := first
	for range 40 {
		again, err = cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
		c.Assert(err, qt.IsNil)
		if again.Status == http.StatusOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Assert(again.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", again))
	c.Assert(again.Text, qt.Equals, first.Text)
	c.Assert(runsOf(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestKeyWhoseHomeIsTakenOutWaitsForTheOldHomesWord(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Plains: 3, Declare: func(f *settings.Declarations) {
		s := f.Services[PlainService]
		s.KeyLifetime = 20 * time.Second
		f.Services[PlainService] = s
	}})
	vouching(ctx, t, f)
	cl := client(t, f.Routers[0].URL)
	home := homeOf(f, "fee-1")
	first, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", first))

	// The old home sleeps while its upstream is taken out, so it still believes itself home.
	c.Assert(home.Side.Pause(ctx), qt.IsNil)
	r := publish(ctx, t, f, settings.Document{Key: settings.DocumentKey("upstreams/" + string(home.ID)), Deleted: true})
	for _, u := range f.Plains {
		if u != home {
			waitInForce(ctx, t, r, u.Operator)
		}
	}
	waitInForce(ctx, t, r, f.Routers[0].Operator)
	for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(100 * time.Millisecond) {
		a, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	}
	c.Assert(home.Side.Resume(), qt.IsNil)
	again := first
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		again, err = cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", key("fee-1"))
		c.Assert(err, qt.IsNil)
		if again.Status == http.StatusOK {
			break
		}
	}
	c.Assert(again.Text, qt.Equals, first.Text)
	c.Assert(runsOf(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestSidePausedPastTheDeadlineDoesNotRunWhatWasGivenUp(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Plains: 1, Declare: func(f *settings.Declarations) {
		p := f.Profiles["debit"]
		p.Deadline = time.Second
		f.Profiles["debit"] = p
	}})
	cl := client(t, f.Routers[0].URL)
	side := f.Plains[0].Side
	for i := range 5 {
		body := fmt.Sprintf("fee %d", i)
		warm, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", "warm", nil)
		c.Assert(err, qt.IsNil)
		c.Assert(warm.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", warm))
		c.Assert(side.Pause(ctx), qt.IsNil)
		a, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", body, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
		// The side wakes before the link counts as silent, so the submission still arrives.
		time.Sleep(200 * time.Millisecond)
		c.Assert(side.Resume(), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		c.Assert(runsOf(ctx, t, f, body), qt.Equals, 0)
	}
}

func TestTicketOfAReplacedSideNeverRunsElsewhere(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Plains: 3, Declare: shortKeys})
	cl := client(t, f.Routers[0].URL)
	good, err := cl.Ticket(ctx, "debit")
	c.Assert(err, qt.IsNil)
	first, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", ticketHeader(good))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", first))
	again, err := client(t, f.Routers[1].URL).Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", ticketHeader(good))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Text, qt.Equals, first.Text)

	for _, u := range f.Plains {
		_ = u.Side.Kill()
		c.Assert(u.Side.Start(ctx), qt.IsNil)
	}
	lost, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", "fee 1", ticketHeader(good))
	c.Assert(err, qt.IsNil)
	c.Assert(lost.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", lost))
	c.Assert(runsOf(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestUpstreamThatCutsAfterTheRunIsAskedOnce(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Plains: 2, Declare: shortKeys})
	// Connections to both upstreams are there and idle, as a library that replays on its own would need.
	vouching(ctx, t, f)
	plainFaults(ctx, t, f, plain.Faults{CutAfterRun: true})
	cl := client(t, f.Routers[0].URL)
	for i := range 4 {
		body := fmt.Sprintf("fee %d", i)
		var header http.Header
		if i > 0 {
			header = key(fmt.Sprintf("fee-%d", i))
		}
		for range 2 {
			a, err := cl.Plain(ctx, http.MethodPost, "debit", "/fees", body, header)
			c.Assert(err, qt.IsNil)
			c.Assert(a.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
			if header == nil {
				break
			}
		}
		c.Assert(runsOf(ctx, t, f, body), qt.Equals, 1)
		plainFaults(ctx, t, f, plain.Faults{})
		vouching(ctx, t, f)
		plainFaults(ctx, t, f, plain.Faults{CutAfterRun: true})
	}
}

func TestNotRunIsNotSaidOfACallThatHasRun(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Plains: 2})
	plainFaults(ctx, t, f, plain.Faults{CutAfterRun: true})
	// A repeat finds the other upstream's side gone.
	_ = f.Plains[1].Side.Kill()
	cl := client(t, f.Routers[0].URL)
	for i := range 12 {
		body := fmt.Sprintf("look-up %d", i)
		a, err := cl.Plain(ctx, http.MethodPost, "status", "/trips", body, nil)
		c.Assert(err, qt.IsNil)
		if a.Outcome == "not_run" {
			c.Assert(runsOf(ctx, t, f, body), qt.Equals, 0, qt.Commentf("%+v", a))
		}
	}
}

// undisturbed returns the answer to a question when nothing fails.
func undisturbed(ctx context.Context, t *testing.T, f *Fleet, q ChatRequest) string {
	t.Helper()
	a, err := client(t, f.Routers[0].URL).Chat(ctx, q)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Whole, qt.IsTrue, qt.Commentf("%+v", a))
	return a.Text
}

func TestAnswerIsWholeThoughItsEngineFails(t *testing.T) {
	faults := map[string]func(ctx context.Context, u *Unit) error{
		"engine killed":  func(_ context.Context, u *Unit) error { return u.Upstream.Kill() },
		"side killed":    func(_ context.Context, u *Unit) error { return u.Side.Kill() },
		"side paused":    func(ctx context.Context, u *Unit) error { return u.Side.Pause(ctx) },
		"side stopped":   func(_ context.Context, u *Unit) error { return u.Side.Signal(syscall.SIGTERM) },
		"engine stopped": func(_ context.Context, u *Unit) error { return u.Upstream.Signal(syscall.SIGTERM) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := testContext(t)
			f := start(t, Options{Routers: 1, Engines: 3, DecodeRate: 40})
			q := question("When does the bus leave?")
			q.MaxTokens = 60
			want := undisturbed(ctx, t, f, q)
			result := make(chan Answer, 1)
			go func() {
				a, err := client(t, f.Routers[0].URL).Chat(ctx, q)
				qt.Check(t, err, qt.IsNil)
				result <- a
			}()
			time.Sleep(700 * time.Millisecond)
			u := busy(ctx, t, f)
			c.Assert(fault(ctx, u), qt.IsNil)
			a := <-result
			c.Assert(a.Whole, qt.IsTrue, qt.Commentf("%+v", a))
			c.Assert(a.Text, qt.Equals, want)
			_ = u.Side.Resume()
		})
	}
}

// busy returns the unit whose engine is running something.
func busy(ctx context.Context, t *testing.T, f *Fleet) *Unit {
	t.Helper()
	for _, u := range f.Engines {
		var n engine.Counts
		qt.Assert(t, Get(ctx, u.URL+"/counts", &n), qt.IsNil)
		if n.Running > 0 {
			return u
		}
	}
	t.Fatal("no engine is running anything")
	return nil
}

func TestStreamCutsAtEveryOffsetLoseAndDoubleNothing(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 3, DecodeRate: 500})
	q := question("What may they eat?")
	want := undisturbed(ctx, t, f, q)
	for _, cut := range []int{1, 5, 11, 23} {
		home := f.Engines[0]
		for _, u := range f.Engines {
			c.Assert(Post(ctx, u.URL+"/faults", engine.Faults{}, nil), qt.IsNil)
			if settings.UpstreamID(lastServed(ctx, t, f, q)) == u.ID {
				home = u
			}
		}
		c.Assert(Post(ctx, home.URL+"/faults", engine.Faults{CutAfter: cut}, nil), qt.IsNil)
		a, err := client(t, f.Routers[0].URL).Chat(ctx, q)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Whole, qt.IsTrue, qt.Commentf("cut %d: %+v", cut, a))
		c.Assert(a.Text, qt.Equals, want)
	}
}

func lastServed(ctx context.Context, t *testing.T, f *Fleet, q ChatRequest) string {
	t.Helper()
	a, err := client(t, f.Routers[0].URL).Chat(ctx, q)
	qt.Assert(t, err, qt.IsNil)
	return a.Upstream
}

func TestCallerThatLeavesCancelsTheEnginesWork(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, DecodeRate: 20})
	q := question("A long one")
	q.MaxTokens = 400
	leaving, leave := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client(t, f.Routers[0].URL).Chat(leaving, q)
	}()
	time.Sleep(400 * time.Millisecond)
	leave()
	<-done
	left := time.Now()
	for {
		var n engine.Counts
		c.Assert(Get(ctx, f.Engines[0].URL+"/counts", &n), qt.IsNil)
		if n.Running == 0 {
			break
		}
		c.Assert(time.Since(left) < time.Second, qt.IsTrue)
		time.Sleep(20 * time.Millisecond)
	}
}
