package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/backoff"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cold"
	"rattantrack.dev/core/cost"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/fairshare"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/outlier"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/quarantine"
	"rattantrack.dev/core/ratelimit"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/waiting"
	"rattantrack.dev/core/work"
	"rattantrack.dev/router/internal/upstream"
)

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Dialect writes the header fields of an attempt and reads those of the response.
type Dialect interface {
	upstream.Dialect
	WriteAttempt(h http.Header, a call.Attempt)
}

// Connections provides connections to upstreams.
type Connections interface {
	Get(ctx context.Context, i members.Instance, reuse upstream.Reuse) (*upstream.Conn, error)
	Put(c *upstream.Conn, res *upstream.Response)
}

// Warmup waits until the router has the cache entries of the upstreams.
type Warmup interface {
	Wait(ctx context.Context, limit time.Duration)
}

// Dispatcher sends requests to upstreams and relays their responses.
type Dispatcher struct {
	DataCentre   settings.DataCentre
	Members      *members.Registry
	Evacuations  *evacuation.Tracker
	InFlight     *inflight.Tracker
	Affinity     *affinity.Index
	Outliers     *outlier.Detector
	Unresponsive *unresponsive.Detector
	Backoff      *backoff.Tracker
	Quarantine   *quarantine.Tracker
	RateLimits   *ratelimit.Tracker
	Cold         *cold.Tracker
	Costs        *cost.Estimator
	Work         *work.Tracker
	Origins      Origins
	Queues       *waiting.Queues
	Refusals     *waiting.Refusals
	RunTimes     *waiting.Durations
	Residence    *waiting.Durations
	Demand       *waiting.Demand
	Placements   *waiting.Rates
	FairShare    *fairshare.Tracker
	Budget       *retry.FleetBudget
	Connections  Connections
	Dialect      Dialect
	Warmup       Warmup
	Shutdown     *shutdown.Tracker
	Clock        Clock
	// KnownRouters returns the number of routers that may send requests to the upstreams, with this one.
	KnownRouters func() int
	// ColdLimit returns how long the upstreams of a service are cold, and the requests a second that one bears meanwhile, 0 for any.
	ColdLimit func(name settings.ServiceName) (time.Duration, float64)
	// FleetSize returns the number of routers of a large fleet, whose routers do not report their open requests to each other. Nil or 0
	// stands for a small fleet.
	FleetSize func() int
	// OnLeaving is called when an upstream states in an answer that it is leaving.
	OnLeaving func(inst members.Instance)
	Log       *log.Logger
	Scope     tally.Scope

	reserving sync.Mutex
	// malformedLogged is when a malformed field was last logged.
	malformedLogged atomic.Int64
}

// Wait times of a request.
const (
	// limitPoll is how often the first waiting request is placed again, since limits have room again without an event.
	limitPoll = 50 * time.Millisecond
	// noUpstreamPoll is how often placement is retried while the service has no usable upstream.
	noUpstreamPoll = 20 * time.Millisecond
	// defaultRetryAfter is when the client may retry a request that found no upstream.
	defaultRetryAfter = 500 * time.Millisecond
	// evacuatedRetryAfter is when the client may retry a request all upstreams of which are evacuated.
	evacuatedRetryAfter = 2 * time.Second
	// stoppingRetryAfter is when the client may retry a request that a stopping router has no time for. Other routers have.
	stoppingRetryAfter = 50 * time.Millisecond
	// warmupWait is how long a request with a long shared prompt waits for the cache warm-up after a restart of the router.
	// An engine needs about as long to process such a prompt again.
	warmupWait = 250 * time.Millisecond
)

// exchange is the state of one request across its attempts.
type exchange struct {
	*Request
	dispatcher *Dispatcher
	// received is when the whole request had come.
	received clock.Instant
	tried    triedUpstreams
	// stalled reports that the stall timer ended the last attempt, after the retry budget had allowed another one.
	stalled bool
	// waiter keeps the request's place in the queue while it is placed again, nil before it has waited.
	waiter *waiting.Waiter
	// reservedAt is when the upstream of the last attempt was chosen.
	reservedAt clock.Instant
	// answeredAt is when the upstream began to answer the last attempt, 0 if it did not.
	answeredAt clock.Instant
	// eventsBefore is the number of events of earlier attempts. survived reports that the last attempt got past the beginning
	// of its answer.
	eventsBefore int
	survived     bool
	attemptWork  attemptWork
	res          Result
	relay        relay
	// failure is the last complete failure response of an upstream.
	failure *bufferedResponse
}

// Do sends a request to an upstream and relays the response to the client.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) Result {
	now := d.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Remaining(now))
	defer cancel()
	d.Budget.RecordRequest(now, r.Service)
	d.recordMalformed(now, r.Malformed, "request", r.ID)
	d.Demand.Record(now, r.Service, r.Rank, r.RouteConfig.Objective)
	ex := &exchange{Request: r, dispatcher: d, received: now, relay: relay{sink: sink, lastEvent: r.LastEvent}}
	ex.run(ctx)
	ex.res.HeadSent = ex.relay.headSent
	ex.res.Events = ex.relay.events
	d.Scope.Tagged(map[string]string{"outcome": string(ex.res.Outcome), "code": ex.res.Code}).Counter("requests").Inc(1)
	return ex.res
}

func (ex *exchange) run(ctx context.Context) {
	if ex.RouteConfig.Kind == settings.RouteStream && !ex.chooseVersion(ctx) {
		return
	}
	if ex.RouteConfig.Affinity && ex.SharedTokens() >= enginePolicy.LongPrefix {
		ex.dispatcher.Warmup.Wait(ctx, warmupWait)
	}
	if !ex.withinShare(ctx) {
		return
	}
	for {
		instance, ok := ex.nextUpstream(ctx)
		if !ok {
			return
		}
		ending := ex.attempt(ctx, instance)
		ex.res.LastEnding = ending
		ex.res.Attempts++
		ex.recordEnding(ctx, instance, ending)
		step := attempt.Next(attempt.State{
			Ending:     ending,
			Delivered:  ex.relay.delivered(),
			Repeatable: ex.RouteConfig.Repeatable(),
			Runs:       ex.res.Runs,
			MaxRuns:    ex.RouteConfig.Attempts,
			Attempts:   ex.res.Attempts,
			Remaining:  ex.Remaining(ex.dispatcher.Clock.Now()),
		})
		if step == attempt.Retry && !ex.allowRetry(instance, ending) {
			step = attempt.Stop
		}
		if step == attempt.Stop {
			ex.finish(ctx, ending)
			return
		}
	}
}

// allowRetry reports whether the fleet's retry budget allows a retry, and counts an allowed one.
func (ex *exchange) allowRetry(inst members.Instance, ending attempt.Ending) bool {
	return ex.stalled || ex.takeRetry(inst, string(ending))
}

// takeRetry takes a retry from the fleet's budget, and reports whether that had one.
func (ex *exchange) takeRetry(inst members.Instance, reason string) bool {
	d := ex.dispatcher
	now := d.Clock.Now()
	decision := d.Budget.Allow(now, ex.Service)
	d.Scope.Tagged(map[string]string{"allowed": strconv.FormatBool(decision.Allowed)}).Counter("retries").Inc(1)
	d.Log.Info("repeat", "request", ex.ID, "service", ex.Service, "upstream", inst.ID, "ending", reason, "routers", decision.Routers,
		"allowed", decision.Allowed, "window_requests", decision.Requests, "window_retries", decision.Retries, "slack", decision.Slack, "left", decision.Left,
		"counting_ms", decision.Counting.Milliseconds())
	return decision.Allowed
}

// routerCount returns the number of routers that send requests, with this one.
func (d *Dispatcher) routerCount(now clock.Instant) int {
	n := d.InFlight.RouterCount(now)
	if d.FleetSize != nil {
		n = max(n, d.FleetSize())
	}
	return n
}

// nextUpstream chooses the upstream of the next attempt and waits for room if the service is full. It returns false if
// the request has ended.
func (ex *exchange) nextUpstream(ctx context.Context) (members.Instance, bool) {
	start := ex.dispatcher.Clock.Now()
	for {
		now := ex.dispatcher.Clock.Now()
		if finding, left, quarantined := ex.dispatcher.Quarantine.Quarantined(now, ex.suspect()); quarantined {
			code := CodeQuarantined
			if finding.Digest != 0 {
				code = CodeRequestQuarantined
			}
			ex.giveUp(ctx, code, left)
			return members.Instance{}, false
		}
		if !ex.dispatcher.Shutdown.Fits(now, ex.received, ex.Deadline, ex.dispatcher.runTime(ex.Request)) {
			ex.giveUp(ctx, CodeStopping, stoppingRetryAfter)
			return members.Instance{}, false
		}
		instance, choice := ex.dispatcher.reserve(now, ex.Request, &ex.tried)
		ex.res.Choice = choice
		switch {
		case choice.Reason == placement.Chosen:
			ex.recordRoom(now)
			ex.reservedAt = now
			ex.res.QueueTime += now.Sub(start)
			return instance, true
		case choice.Reason == placement.NoUpstream && ex.res.Attempts > 0:
			// A request that has made an attempt does not wait for further upstreams.
			ex.giveUp(ctx, CodeNoUpstream, ex.retryAfter(defaultRetryAfter))
			return members.Instance{}, false
		}
		if !ex.waitForRoom(ctx, choice.Reason, start) {
			return members.Instance{}, false
		}
	}
}

// giveUp ends a request that gets no further attempt.
func (ex *exchange) giveUp(ctx context.Context, code string, retryAfter time.Duration) {
	if ex.res.Runs > 0 || ex.relay.headSent {
		ex.finish(ctx, ex.res.LastEnding)
		return
	}
	if code == CodeOverloaded {
		ex.recordNoRoom()
	}
	ex.res.Outcome, ex.res.Code, ex.res.RetryAfter = peer.OutcomeNotRun, code, retryAfter
	switch {
	case ended(ctx):
		ex.res.Code, ex.res.RetryAfter = CodeStopping, stoppingRetryAfter
	case clientGone(ctx):
		ex.res.Code = CodeClientGone
	}
}

// retryAfter returns when the client may retry: after a pause that all upstreams have asked for or, without one, after the given
// time.
func (ex *exchange) retryAfter(d time.Duration) time.Duration {
	if soonest := ex.dispatcher.pauseLeft(ex.dispatcher.Clock.Now(), ex.Service); soonest > 0 {
		return max(d, backoff.RetryAfter(soonest, rand.Float64()))
	}
	return d
}

// clientGone reports whether the client has disconnected; a passed deadline and the end of the router do not count.
func clientGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !ended(ctx)
}

// ended reports whether the router stops and has no more time for the request.
func ended(ctx context.Context) bool {
	var e *shutdown.EndedError
	return errors.As(context.Cause(ctx), &e)
}

// finish derives the result from the ending of the last attempt.
func (ex *exchange) finish(ctx context.Context, ending attempt.Ending) {
	res := &ex.res
	switch {
	case clientGone(ctx):
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeClientGone
	case ending == attempt.Complete:
		res.Outcome, res.Code = peer.OutcomeDone, ""
	case ex.relay.headSent:
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeCut
	case ex.failure != nil:
		res.Outcome, res.Code, res.Status = peer.OutcomeDone, CodeUpstream, ex.failure.status
		if err := ex.relay.whole(ex.failure); err != nil {
			res.Code = CodeClientGone
		}
	case res.Runs == 0:
		res.Outcome, res.Code = peer.OutcomeNotRun, CodeUnreachable
		res.RetryAfter = ex.dispatcher.Queues.RetryAfter(ex.dispatcher.Clock.Now(), ex.Service)
		if ending == attempt.Refused {
			res.Code = CodeRefused
			res.RetryAfter = max(res.RetryAfter, ex.dispatcher.Refusals.RetryAfter(ex.dispatcher.Clock.Now(), ex.Service, rand.Float64()))
		}
		res.RetryAfter = ex.retryAfter(res.RetryAfter)
		if ended(ctx) {
			res.Code, res.RetryAfter = CodeStopping, stoppingRetryAfter
		}
	case ended(ctx):
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeStopping
	case ctx.Err() != nil:
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeDeadline
	default:
		res.Outcome, res.Code = peer.OutcomeUnknown, CodeLost
	}
}

// recordEnding records what an ending shows about the upstream.
func (ex *exchange) recordEnding(ctx context.Context, inst members.Instance, ending attempt.Ending) {
	now := ex.dispatcher.Clock.Now()
	ex.tried.record(inst.ID, ending, ex.stalled)
	ex.dispatcher.Refusals.Record(now, inst.Service, ending == attempt.Refused)
	switch ending {
	case attempt.NotSent:
		avoidTime := ex.dispatcher.Outliers.RecordUnreachable(now, inst.ID, inst.Service)
		ex.dispatcher.Log.Warn("upstream unreachable", "request", ex.ID, "upstream", inst.ID, "address", inst.Address,
			"avoided_ms", avoidTime.Milliseconds())
	case attempt.Complete:
		ex.dispatcher.Outliers.RecordResult(now, inst.ID, inst.Service, false)
		if !ex.isEmptyStream() {
			ex.recordProgress(ex.res.Status < http.StatusBadRequest)
		}
	case attempt.Failed, attempt.Lost, attempt.Cut:
		if ctx.Err() == nil && ex.dispatcher.Outliers.RecordResult(now, inst.ID, inst.Service, true) {
			ex.dispatcher.Log.Warn("upstream ejected", "request", ex.ID, "upstream", inst.ID, "ending", ending)
		}
	}
}
