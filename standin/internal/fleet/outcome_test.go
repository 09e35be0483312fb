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

// keyLifetime is short enough for a test to wait until keys have expired.
const keyLifetime = 3 * time.Second

// shortenKeyLifetime sets a short key lifetime. A new side confirms that a key has no earlier run only once it has run for
// the key lifetime, so a short one keeps the wait for it short.
func shortenKeyLifetime(d *settings.Declarations) {
	s := d.Services[PlainService]
	s.KeyLifetime = keyLifetime
	d.Services[PlainService] = s
}

func keyHeader(callerKey string) http.Header {
	return http.Header{"Idempotency-Key": []string{callerKey}}
}

func ticketHeader(text string) http.Header {
	return http.Header{"Rattantrack-Ticket": []string{text}}
}

// countRuns counts the runs of a body over all plain services.
func countRuns(ctx context.Context, t *testing.T, f *Fleet, body string) int {
	t.Helper()
	n := 0
	for _, u := range f.PlainServices {
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

// primaryOf returns the primary of a caller's key for the profile "debit".
func primaryOf(f *Fleet, callerKey string) *Upstream {
	var ids []settings.UpstreamID
	for _, u := range f.PlainServices {
		ids = append(ids, u.ID)
	}
	scopedKey := fmt.Sprintf("%s\x00debit\x00%s", Team, callerKey)
	primary, _ := rendezvous.New(ids).Primary(outcome.HashKey(scopedKey))
	for _, u := range f.PlainServices {
		if u.ID == primary {
			return u
		}
	}
	return nil
}

// waitForConfirmedKeys waits until the sides confirm that new keys have no earlier run. All calls of a round must succeed,
// since each side confirms only the keys of which it is the primary.
func waitForConfirmedKeys(ctx context.Context, t *testing.T, f *Fleet) {
	t.Helper()
	cl := client(t, f.Routers[0].URL)
	for i := 0; ; i++ {
		ready := true
		for j := range 8 {
			name := fmt.Sprintf("warm-%d-%d", i, j)
			res, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/warm", name, keyHeader(name))
			qt.Assert(t, err, qt.IsNil)
			ready = ready && res.Status == http.StatusOK
		}
		if ready {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func setPlainFaults(ctx context.Context, t *testing.T, f *Fleet, faults plain.Faults) {
	t.Helper()
	for _, u := range f.PlainServices {
		qt.Assert(t, Post(ctx, u.URL+"/faults", faults, nil), qt.IsNil)
	}
}

func TestConcurrentCallsWithTheSameKeyRunOnce(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, PlainServices: 3, EditDeclarations: shortenKeyLifetime})
	waitForConfirmedKeys(ctx, t, f)
	setPlainFaults(ctx, t, f, plain.Faults{DelayMS: 200})
	var wg sync.WaitGroup
	responses := make([]Response, 8)
	for i := range responses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, err := client(t, f.Routers[i%2].URL).CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 7", keyHeader("fee-7"))
			qt.Check(t, err, qt.IsNil)
			responses[i] = res
		}()
	}
	wg.Wait()
	for _, res := range responses {
		c.Assert(res.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", res))
		c.Assert(res.Text, qt.Equals, responses[0].Text)
	}
	c.Assert(countRuns(ctx, t, f, "fee 7"), qt.Equals, 1)

	res, err := client(t, f.Routers[0].URL).CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 8", keyHeader("fee-7"))
	c.Assert(err, qt.IsNil)
	c.Assert([]any{res.Status, res.Code}, qt.DeepEquals, []any{http.StatusUnprocessableEntity, "key_reused"})
}

// TestCallOfAKilledRouterRunsOnce kills a router while its call runs; the same call at the other router must return the
// result of that run.
func TestCallOfAKilledRouterRunsOnce(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, PlainServices: 3, EditDeclarations: shortenKeyLifetime})
	waitForConfirmedKeys(ctx, t, f)
	setPlainFaults(ctx, t, f, plain.Faults{DelayMS: 500})
	firstErr := make(chan error, 1)
	go func() {
		_, err := client(t, f.Routers[0].URL).CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
		firstErr <- err
	}()
	time.Sleep(150 * time.Millisecond)
	_ = f.Routers[0].Kill()
	c.Assert(<-firstErr, qt.IsNotNil)
	res, err := client(t, f.Routers[1].URL).CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(res.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", res))
	c.Assert(countRuns(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestKilledSideNeverRunsAKeyTwice(t *testing.T) {
	tests := map[string]time.Duration{
		"during the run": 200 * time.Millisecond,
		"after the run":  900 * time.Millisecond,
	}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := testContext(t)
			f := start(t, Options{Routers: 2, PlainServices: 3, EditDeclarations: func(d *settings.Declarations) {
				s := d.Services[PlainService]
				s.KeyLifetime = 2 * keyLifetime
				d.Services[PlainService] = s
			}})
			waitForConfirmedKeys(ctx, t, f)
			setPlainFaults(ctx, t, f, plain.Faults{DelayMS: 500})
			primary := primaryOf(f, "fee-1")
			first := make(chan Response, 1)
			go func() {
				res, _ := client(t, f.Routers[0].URL).CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
				first <- res
			}()
			time.Sleep(delay)
			_ = primary.Side.Kill()
			c.Assert(primary.Side.Start(ctx), qt.IsNil)
			cl := client(t, f.Routers[1].URL)
			// The new process gets the states of the other sides within a second, but its empty key table does not show what
			// the old process has run.
			for startedAt := time.Now(); time.Since(startedAt) < 2*time.Second; time.Sleep(100 * time.Millisecond) {
				res, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
				c.Assert(err, qt.IsNil)
				c.Assert(res.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", res))
				c.Assert(res.RetryAfter, qt.Not(qt.Equals), "")
			}
			<-first
			c.Assert(countRuns(ctx, t, f, "fee 1"), qt.Equals, 1)
		})
	}
}

func TestRestartOfThePrimaryKeepsItsAnswers(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, PlainServices: 3, EditDeclarations: func(d *settings.Declarations) {
		s := d.Services[PlainService]
		s.KeyLifetime = 8 * time.Second
		d.Services[PlainService] = s
	}})
	waitForConfirmedKeys(ctx, t, f)
	cl := client(t, f.Routers[0].URL)
	first, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Status, qt.Equals, http.StatusOK)
	c.Assert(primaryOf(f, "fee-1").Side.Restart(ctx), qt.IsNil)
	again := first
	for range 40 {
		again, err = cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
		c.Assert(err, qt.IsNil)
		if again.Status == http.StatusOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Assert(again.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", again))
	c.Assert(again.Text, qt.Equals, first.Text)
	c.Assert(countRuns(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestMovedKeyWaitsForTheReleaseAcknowledgement(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, PlainServices: 3, EditDeclarations: func(d *settings.Declarations) {
		s := d.Services[PlainService]
		s.KeyLifetime = 20 * time.Second
		d.Services[PlainService] = s
	}})
	waitForConfirmedKeys(ctx, t, f)
	cl := client(t, f.Routers[0].URL)
	primary := primaryOf(f, "fee-1")
	first, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", first))

	// The old primary is paused while its upstream is removed from the declarations, so it still acts as the primary.
	c.Assert(primary.Side.Pause(ctx), qt.IsNil)
	r := publish(ctx, t, f, settings.Document{Key: settings.DocumentKey("upstreams/" + string(primary.ID)), Deleted: true})
	for _, u := range f.PlainServices {
		if u != primary {
			waitInForce(ctx, t, r, u.Operator)
		}
	}
	waitInForce(ctx, t, r, f.Routers[0].Operator)
	for startedAt := time.Now(); time.Since(startedAt) < 2*time.Second; time.Sleep(100 * time.Millisecond) {
		res, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", res))
	}
	c.Assert(primary.Side.Resume(), qt.IsNil)
	again := first
	for startedAt := time.Now(); time.Since(startedAt) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		again, err = cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", keyHeader("fee-1"))
		c.Assert(err, qt.IsNil)
		if again.Status == http.StatusOK {
			break
		}
	}
	c.Assert(again.Text, qt.Equals, first.Text)
	c.Assert(countRuns(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestResumedSideDoesNotRunExpiredCalls(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, PlainServices: 1, EditDeclarations: func(d *settings.Declarations) {
		p := d.Profiles["debit"]
		p.Deadline = time.Second
		d.Profiles["debit"] = p
	}})
	cl := client(t, f.Routers[0].URL)
	side := f.PlainServices[0].Side
	for i := range 5 {
		body := fmt.Sprintf("fee %d", i)
		warm, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "warm", nil)
		c.Assert(err, qt.IsNil)
		c.Assert(warm.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", warm))
		c.Assert(side.Pause(ctx), qt.IsNil)
		res, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", body, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", res))
		// The side resumes before the router closes the link as unresponsive, so the submission still arrives.
		time.Sleep(200 * time.Millisecond)
		c.Assert(side.Resume(), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		c.Assert(countRuns(ctx, t, f, body), qt.Equals, 0)
	}
}

func TestTicketOfAReplacedSideNeverRunsAgain(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, PlainServices: 3, EditDeclarations: shortenKeyLifetime})
	cl := client(t, f.Routers[0].URL)
	ticket, err := cl.RequestTicket(ctx, "debit")
	c.Assert(err, qt.IsNil)
	first, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", ticketHeader(ticket))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", first))
	again, err := client(t, f.Routers[1].URL).CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", ticketHeader(ticket))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Text, qt.Equals, first.Text)

	// The new sides have no record of the ticket's run, so its outcome is unknown.
	for _, u := range f.PlainServices {
		_ = u.Side.Kill()
		c.Assert(u.Side.Start(ctx), qt.IsNil)
	}
	lost, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", "fee 1", ticketHeader(ticket))
	c.Assert(err, qt.IsNil)
	c.Assert(lost.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", lost))
	c.Assert(countRuns(ctx, t, f, "fee 1"), qt.Equals, 1)
}

func TestCallWithALostAnswerRunsOnce(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, PlainServices: 2, EditDeclarations: shortenKeyLifetime})
	// An HTTP library resends a request on its own only if it was sent on a reused connection, so the test first opens
	// connections to both upstreams.
	waitForConfirmedKeys(ctx, t, f)
	setPlainFaults(ctx, t, f, plain.Faults{CutAfterRun: true})
	cl := client(t, f.Routers[0].URL)
	for i := range 4 {
		body := fmt.Sprintf("fee %d", i)
		var header http.Header
		if i > 0 {
			header = keyHeader(fmt.Sprintf("fee-%d", i))
		}
		for range 2 {
			res, err := cl.CallPlain(ctx, http.MethodPost, "debit", "/fees", body, header)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Outcome, qt.Equals, "unknown", qt.Commentf("%+v", res))
			if header == nil {
				break
			}
		}
		c.Assert(countRuns(ctx, t, f, body), qt.Equals, 1)
		setPlainFaults(ctx, t, f, plain.Faults{})
		waitForConfirmedKeys(ctx, t, f)
		setPlainFaults(ctx, t, f, plain.Faults{CutAfterRun: true})
	}
}

func TestNotRunIsNeverReportedAfterARun(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, PlainServices: 2})
	setPlainFaults(ctx, t, f, plain.Faults{CutAfterRun: true})
	// A retry fails, since the other upstream's side is killed.
	_ = f.PlainServices[1].Side.Kill()
	cl := client(t, f.Routers[0].URL)
	for i := range 12 {
		body := fmt.Sprintf("look-up %d", i)
		res, err := cl.CallPlain(ctx, http.MethodPost, "status", "/trips", body, nil)
		c.Assert(err, qt.IsNil)
		if res.Outcome == "not_run" {
			c.Assert(countRuns(ctx, t, f, body), qt.Equals, 0, qt.Commentf("%+v", res))
		}
	}
}

// answerWithoutFaults returns the text of the answer to a request while nothing fails.
func answerWithoutFaults(ctx context.Context, t *testing.T, f *Fleet, req ChatRequest) string {
	t.Helper()
	res, err := client(t, f.Routers[0].URL).Chat(ctx, req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.Complete, qt.IsTrue, qt.Commentf("%+v", res))
	return res.Text
}

func TestAnswerIsCompleteThoughItsUpstreamFails(t *testing.T) {
	faults := map[string]func(ctx context.Context, u *Upstream) error{
		"engine killed":  func(_ context.Context, u *Upstream) error { return u.Process.Kill() },
		"side killed":    func(_ context.Context, u *Upstream) error { return u.Side.Kill() },
		"side paused":    func(ctx context.Context, u *Upstream) error { return u.Side.Pause(ctx) },
		"side stopped":   func(_ context.Context, u *Upstream) error { return u.Side.Signal(syscall.SIGTERM) },
		"engine stopped": func(_ context.Context, u *Upstream) error { return u.Process.Signal(syscall.SIGTERM) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := testContext(t)
			f := start(t, Options{Routers: 1, Engines: 3, DecodeRate: 40})
			req := chatRequest("When does the bus leave?")
			req.MaxTokens = 60
			want := answerWithoutFaults(ctx, t, f, req)
			result := make(chan Response, 1)
			go func() {
				res, err := client(t, f.Routers[0].URL).Chat(ctx, req)
				qt.Check(t, err, qt.IsNil)
				result <- res
			}()
			time.Sleep(700 * time.Millisecond)
			u := busyEngine(ctx, t, f)
			c.Assert(fault(ctx, u), qt.IsNil)
			res := <-result
			c.Assert(res.Complete, qt.IsTrue, qt.Commentf("%+v", res))
			c.Assert(res.Text, qt.Equals, want)
			_ = u.Side.Resume()
		})
	}
}

// busyEngine returns an engine that is running a chat.
func busyEngine(ctx context.Context, t *testing.T, f *Fleet) *Upstream {
	t.Helper()
	for _, u := range f.Engines {
		var counts engine.Counts
		qt.Assert(t, Get(ctx, u.URL+"/counts", &counts), qt.IsNil)
		if counts.Running > 0 {
			return u
		}
	}
	t.Fatal("no engine is running a chat")
	return nil
}

func TestCutStreamsLoseAndRepeatNoTokens(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 3, DecodeRate: 500})
	req := chatRequest("What may they eat?")
	want := answerWithoutFaults(ctx, t, f, req)
	for _, cut := range []int{1, 5, 11, 23} {
		serving := f.Engines[0]
		for _, u := range f.Engines {
			c.Assert(Post(ctx, u.URL+"/faults", engine.Faults{}, nil), qt.IsNil)
			if settings.UpstreamID(servingUpstream(ctx, t, f, req)) == u.ID {
				serving = u
			}
		}
		c.Assert(Post(ctx, serving.URL+"/faults", engine.Faults{CutAfter: cut}, nil), qt.IsNil)
		res, err := client(t, f.Routers[0].URL).Chat(ctx, req)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Complete, qt.IsTrue, qt.Commentf("cut %d: %+v", cut, res))
		c.Assert(res.Text, qt.Equals, want)
	}
}

func servingUpstream(ctx context.Context, t *testing.T, f *Fleet, req ChatRequest) string {
	t.Helper()
	res, err := client(t, f.Routers[0].URL).Chat(ctx, req)
	qt.Assert(t, err, qt.IsNil)
	return res.Upstream
}

func TestDisconnectedCallerCancelsGeneration(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, DecodeRate: 20})
	req := chatRequest("A long one")
	req.MaxTokens = 400
	callerCtx, disconnect := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client(t, f.Routers[0].URL).Chat(callerCtx, req)
	}()
	time.Sleep(400 * time.Millisecond)
	disconnect()
	<-done
	disconnectedAt := time.Now()
	for {
		var counts engine.Counts
		c.Assert(Get(ctx, f.Engines[0].URL+"/counts", &counts), qt.IsNil)
		if counts.Running == 0 {
			break
		}
		c.Assert(time.Since(disconnectedAt) < time.Second, qt.IsTrue)
		time.Sleep(20 * time.Millisecond)
	}
}
