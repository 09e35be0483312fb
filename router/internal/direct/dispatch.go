package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/outlier"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/waiting"
	"rattantrack.dev/router/internal/upstream"
)

// Clock gives the present instant.
type Clock interface {
	Now() clock.Instant
}

// Dialect writes what an upstream is told of an attempt and reads its answer.
type Dialect interface {
	upstream.Dialect
	WriteAttempt(h http.Header, a call.Attempt)
}

// Connections gives connections to upstreams.
type Connections interface {
	Get(ctx context.Context, i members.Instance, once bool) (*upstream.Conn, error)
	Put(c *upstream.Conn, res *upstream.Response)
}

// Cached waits until it is known which upstreams cache which prompts.
type Cached interface {
	Wait(ctx context.Context, limit time.Duration)
}

// Dispatcher takes requests to upstreams.
type Dispatcher struct {
	DataCentre   settings.DataCentre
	Members      *members.Registry
	InFlight     *inflight.Tracker
	Affinity     *affinity.Index
	Outliers     *outlier.Detector
	Unresponsive *unresponsive.Detector
	Queues       *waiting.Queues
	Budget       *retry.FleetBudget
	Connections  Connections
	Dialect      Dialect
	Warmup       Cached
	Clock        Clock
	Log          *log.Logger
	Scope        tally.Scope
}

// Times of waiting between attempts.
const (
	// waitPoll is how often a request without an upstream looks again.
	waitPoll = 20 * time.Millisecond
	// defaultRetryAfter is when a client should come back whose request found no upstream.
	defaultRetryAfter = 500 * time.Millisecond
	// warmWait is how long a request with a long prompt waits after a restart until the cached prompts are known.
	// Reading such a prompt again takes an engine about as long.
	warmWait = 250 * time.Millisecond
)

// exchange is one request on its way through its attempts.
type exchange struct {
	*Request
	d     *Dispatcher
	sink  Sink
	tried tried
	// stalled says that the last attempt was ended for standing still.
	stalled bool
	res     Result
	relay   relay
	// failure is the last failure that an upstream answered whole.
	failure *wholeAnswer
}

// Do takes a request to an upstream and its answer to the client.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) Result {
	now := d.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Remaining(now))
	defer cancel()
	d.Budget.RecordRequest(now, r.Service)
	x := &exchange{Request: r, d: d, sink: sink, relay: relay{sink: sink, last: r.LastEvent}}
	x.run(ctx)
	x.res.HeadSent = x.relay.headed
	x.res.Events = x.relay.events
	d.Scope.Tagged(map[string]string{"outcome": string(x.res.Outcome), "code": x.res.Code}).Counter("requests").Inc(1)
	return x.res
}

func (x *exchange) run(ctx context.Context) {
	if x.RouteConfig.Affinity && x.SharedTokens() >= enginePolicy.LongPrefix {
		x.d.Warmup.Wait(ctx, warmWait)
	}
	for {
		instance, ok := x.upstream(ctx)
		if !ok {
			return
		}
		ending := x.attempt(ctx, instance)
		x.res.Last = ending
		x.res.Attempts++
		x.note(ctx, instance, ending)
		step := attempt.Next(attempt.State{
			Ending:     ending,
			Repeatable: x.RouteConfig.Repeatable(),
			Runs:       x.res.Runs,
			MaxRuns:    x.RouteConfig.Attempts,
			Attempts:   x.res.Attempts,
			Remaining:  x.Remaining(x.d.Clock.Now()),
		})
		if step == attempt.Retry && !x.takeRepeat(instance, ending) {
			step = attempt.Stop
		}
		if step == attempt.Stop {
			x.finish(ctx, ending)
			return
		}
	}
}

// takeRepeat asks the fleet's budget for a repeat.
func (x *exchange) takeRepeat(i members.Instance, ending attempt.Ending) bool {
	now := x.d.Clock.Now()
	routers := x.d.InFlight.RouterCount(now)
	ok := x.d.Budget.Allow(now, x.Service, routers)
	x.d.Log.Info("repeat", "request", x.ID, "upstream", i.ID, "ending", ending, "runs", x.res.Runs, "routers", routers, "allowed", ok)
	return ok
}

// upstream places the next attempt, waiting for room where the service is full; false means that the request has ended.
func (x *exchange) upstream(ctx context.Context) (members.Instance, bool) {
	begun := x.d.Clock.Now()
	for {
		now := x.d.Clock.Now()
		instance, choice := x.d.place(now, x.Request, &x.tried)
		switch {
		case choice.Reason == placement.Chosen:
			x.res.QueueTime += now.Sub(begun)
			x.res.Choice = choice
			return instance, true
		case choice.Reason == placement.NoUpstream && x.res.Attempts > 0:
			// No upstream is left that this request has not tried.
			x.giveUp(ctx, CodeNoUpstream, defaultRetryAfter)
			return members.Instance{}, false
		}
		if !x.wait(ctx, choice.Reason, begun) {
			return members.Instance{}, false
		}
	}
}

// wait waits until the request may be placed again; false means that it has ended.
func (x *exchange) wait(ctx context.Context, reason placement.Reason, begun clock.Instant) bool {
	now := x.d.Clock.Now()
	if reason == placement.NoUpstream {
		if now.Sub(begun) >= waiting.NoUpstreamWait(x.Remaining(begun)) {
			x.giveUp(ctx, CodeNoUpstream, defaultRetryAfter)
			return false
		}
		return x.pause(ctx, waitPoll)
	}
	limit := x.waitLimit(begun)
	t := &waiting.Waiter{Rank: x.Rank, Deadline: limit}
	if refusal := x.d.Queues.Enter(now, x.Service, t); refusal != nil {
		x.giveUp(ctx, CodeOverloaded, refusal.RetryAfter)
		return false
	}
	defer x.d.Queues.Leave(x.Service, t)
	timer := time.NewTimer(limit.Sub(now))
	defer timer.Stop()
	select {
	case <-t.Ready():
		return true
	case <-timer.C:
		x.giveUp(ctx, CodeOverloaded, x.d.Queues.RetryAfter(x.Service))
	case <-ctx.Done():
		x.giveUp(ctx, CodeDeadline, x.d.Queues.RetryAfter(x.Service))
	}
	return false
}

// waitLimit is when a request in line is given up: an answer that starts later than its objective is late anyway, and
// the client can do better with the rest of its time.
func (x *exchange) waitLimit(begun clock.Instant) clock.Instant {
	limit := x.RouteConfig.Objective
	if limit == 0 {
		limit = x.Remaining(begun) / 4
	}
	return min(begun.Add(limit), x.Deadline)
}

func (x *exchange) pause(ctx context.Context, d time.Duration) bool {
	if clock.Sleep(ctx, d) {
		return true
	}
	x.giveUp(ctx, CodeDeadline, defaultRetryAfter)
	return false
}

// giveUp ends a request that has no further attempt.
func (x *exchange) giveUp(ctx context.Context, code string, retryAfter time.Duration) {
	if x.res.Runs > 0 || x.relay.headed {
		x.finish(ctx, x.res.Last)
		return
	}
	x.res.Outcome, x.res.Code, x.res.RetryAfter = peer.OutcomeNotRun, code, retryAfter
	if clientGone(ctx) {
		x.res.Code = CodeClientGone
	}
}

func clientGone(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// finish turns the ending of the last attempt into the result.
func (x *exchange) finish(ctx context.Context, ending attempt.Ending) {
	res := &x.res
	switch {
	case clientGone(ctx):
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeClientGone
	case ending == attempt.Complete:
		res.Outcome, res.Code = peer.OutcomeDone, ""
	case x.relay.headed:
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeCut
	case x.failure != nil:
		res.Outcome, res.Code, res.Status = peer.OutcomeDone, CodeUpstream, x.failure.status
		if err := x.failure.send(x.sink); err != nil {
			res.Code = CodeClientGone
		}
		x.relay.headed = true
	case res.Runs == 0:
		res.Outcome, res.Code = peer.OutcomeNotRun, CodeUnreachable
		if ending == attempt.Refused {
			res.Code = CodeRefused
		}
		res.RetryAfter = x.d.Queues.RetryAfter(x.Service)
	case ctx.Err() != nil:
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeDeadline
	default:
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeLost
	}
}

// note remembers what an ending says about the upstream.
func (x *exchange) note(ctx context.Context, i members.Instance, ending attempt.Ending) {
	now := x.d.Clock.Now()
	x.tried.note(i.ID, ending, x.stalled)
	switch ending {
	case attempt.NotSent:
		retreat := x.d.Outliers.RecordUnreachable(now, i.ID, i.Service)
		x.d.Log.Warn("upstream unreachable", "request", x.ID, "upstream", i.ID, "address", i.Address, "avoided_ms", retreat.Milliseconds())
	case attempt.Complete:
		x.d.Outliers.RecordResult(now, i.ID, i.Service, false)
	case attempt.Failed, attempt.Lost, attempt.Cut:
		if ctx.Err() == nil && x.d.Outliers.RecordResult(now, i.ID, i.Service, true) {
			x.d.Log.Warn("upstream ejected", "request", x.ID, "upstream", i.ID, "ending", ending)
		}
	}
}
