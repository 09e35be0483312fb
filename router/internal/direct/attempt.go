package direct

import (
	"context"
	"io"
	"maps"
	"net/http"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/upstream"
)

// maxBufferedBytes bounds the responses that are read completely before the client gets any of them, so that the request can
// still be retried.
const maxBufferedBytes = 256 << 10

// attempt sends the request to one upstream and relays its response. The request already counts as open there.
func (ex *exchange) attempt(ctx context.Context, inst members.Instance) attempt.Ending {
	dispatcher := ex.dispatcher
	now := dispatcher.Clock.Now()
	ex.beginWork(now, inst)
	defer func() {
		ex.attemptWork.entry.End()
		dispatcher.InFlight.End(inst.ID)
		dispatcher.Residence.Record(ex.Service, dispatcher.Clock.Now().Sub(now))
		dispatcher.Queues.RequestEnded(dispatcher.Clock.Now(), ex.Service)
	}()
	conn, err := dispatcher.Connections.Get(ctx, inst, ex.reuse(inst))
	if err != nil {
		if ctx.Err() != nil {
			return attempt.ClientGone
		}
		return attempt.NotSent
	}
	if _, rate := dispatcher.ColdLimit(inst.Service); rate > 0 {
		dispatcher.Cold.Sent(dispatcher.Clock.Now(), inst.ID, ex.reservedAt)
	}
	ex.res.Upstream, ex.res.Version = inst.ID, inst.Version
	ex.answeredAt, ex.eventsBefore, ex.survived = 0, ex.relay.events, false
	if ex.RouteConfig.Affinity {
		dispatcher.Affinity.RecordUse(now, ex.sharedBlocks(), inst.ID)
	}
	dispatcher.Unresponsive.Begin(dispatcher.Clock.Now(), inst.ID)
	defer dispatcher.Unresponsive.End(inst.ID)
	stop := context.AfterFunc(ctx, conn.Close)
	timer := ex.startStallTimer(conn, inst)
	res, err := conn.Do(ex.outbound(inst))
	if err != nil {
		ex.stalled = timer.stop()
		stop()
		conn.Close()
		return ex.noResponse(ctx, inst, err)
	}
	ex.answeredAt = dispatcher.Clock.Now()
	dispatcher.Unresponsive.ResponseReceived(ex.answeredAt, inst.ID)
	ex.recordStatements(inst, res.StatusCode, res.Answer)
	if ex.res.FirstByte == 0 {
		ex.res.FirstByte = ex.answeredAt.Sub(ex.Arrived)
	}
	ending, complete := ex.relayResponse(ctx, inst, res, timer)
	if ending == attempt.Complete {
		ex.recordRunTime(inst, now)
	}
	ex.stalled = timer.stop()
	// A connection that ctx or the stall timer closes cannot carry another request.
	if !stop() || ex.stalled || !complete {
		conn.Close()
		return ending
	}
	dispatcher.Connections.Put(conn, res)
	return ending
}

// reuse returns which idle connections to an upstream may carry the next attempt.
func (ex *exchange) reuse(inst members.Instance) upstream.Reuse {
	switch {
	case ex.tried.has(inst.ID):
		return upstream.ReuseNone
	case ex.RouteConfig.Repeatable():
		return upstream.ReuseAny
	}
	return upstream.ReuseRecent
}

// recordRunTime records how long the upstream has worked on an attempt that was sent at the given time. Engines answer once they run a
// request; the time that a request waits for a plain service is unknown, unless a slot was free.
func (ex *exchange) recordRunTime(inst members.Instance, sent clock.Instant) {
	now := ex.dispatcher.Clock.Now()
	switch {
	case ex.RouteConfig.Affinity:
		ex.dispatcher.RunTimes.Record(ex.Service, now.Sub(ex.answeredAt))
	case ex.res.Choice.Load < inst.Slots:
		ex.dispatcher.RunTimes.Record(ex.Service, now.Sub(sent))
	}
}

// recordStatements records what an upstream states about itself, before the client gets its answer. A misdirected response
// comes from another process than inst.
func (ex *exchange) recordStatements(inst members.Instance, status int, a call.Answer) {
	if a.Misdirected {
		return
	}
	d := ex.dispatcher
	ex.recordLoad(ex.answeredAt, inst, a)
	if a.RetryAfter > 0 {
		now := d.Clock.Now()
		until := d.Backoff.Record(now, inst, a.RetryAfter)
		d.Scope.Counter("upstream_pauses").Inc(1)
		d.Log.Info("upstream asks for a pause", "request", ex.ID, "upstream", inst.ID, "pause_ms", until.Sub(now).Milliseconds())
	}
	if a.Cold > 0 && d.Members.MarkCold(d.Clock.Now(), inst, a.Cold) {
		d.Scope.Counter("upstreams_turned_cold").Inc(1)
		d.Log.Info("upstream turned cold", "request", ex.ID, "upstream", inst.ID, "cold_ms", a.Cold.Milliseconds())
	}
	// A failure may come from a part of the upstream that knows no limit, so it ends none.
	if a.RateLimit != nil || status < http.StatusBadRequest {
		ex.recordRateLimit(inst, a.RateLimit)
	}
	if a.Leaving {
		d.OnLeaving(inst)
	}
}

// recordRateLimit records the rate limit that an upstream has stated in an answer, nil for none.
func (ex *exchange) recordRateLimit(inst members.Instance, rate *call.Rate) {
	d := ex.dispatcher
	if !d.RateLimits.Record(d.Clock.Now(), inst, rate) {
		return
	}
	if rate == nil {
		d.Log.Info("upstream ends its rate limit", "request", ex.ID, "upstream", inst.ID)
		return
	}
	d.Scope.Counter("upstream_rate_limits").Inc(1)
	d.Log.Info("upstream names a rate limit", "request", ex.ID, "upstream", inst.ID, "per_second", float64(*rate))
}

// outbound returns the request with the header fields of this attempt.
func (ex *exchange) outbound(inst members.Instance) *upstream.Request {
	out := ex.Outbound
	out.Header = maps.Clone(ex.Outbound.Header)
	ex.dispatcher.Dialect.WriteAttempt(out.Header, call.Attempt{
		Upstream:  inst.ID,
		Timeout:   ex.Remaining(ex.dispatcher.Clock.Now()),
		Team:      ex.Team,
		Rank:      ex.Rank,
		LastEvent: ex.relay.lastEvent,
	})
	return &out
}

// noResponse returns the ending of an attempt that got no response head.
func (ex *exchange) noResponse(ctx context.Context, inst members.Instance, err error) attempt.Ending {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return attempt.NotSent
	}
	ex.res.Runs++
	if ctx.Err() != nil {
		return attempt.ClientGone
	}
	ex.dispatcher.Log.Warn("answer lost", "request", ex.ID, "upstream", inst.ID, "digest", ex.Digest.String(),
		"blocks", blockList(ex.sharedBlocks()), "error", err)
	ex.countOverLimit(err)
	ex.recordBroken(inst, err)
	return attempt.Lost
}

// relayResponse relays a response; complete reports whether it was read to its end.
func (ex *exchange) relayResponse(
	ctx context.Context, inst members.Instance, res *upstream.Response, timer *stallTimer,
) (ending attempt.Ending, complete bool) {
	use := attempt.UseOf(attempt.Answer{
		Status: res.StatusCode,
		NotRun: res.Answer.NotRun || res.Answer.Misdirected,
		Stream: ex.RouteConfig.Kind == settings.RouteStream,
	}, ex.relay.delivered())
	if use == attempt.UseRefusal {
		if res.Answer.Misdirected {
			ex.misdirected(inst, res)
		}
		return attempt.Refused, res.Drain()
	}
	ex.res.Runs++
	ex.res.Status = res.StatusCode
	switch use {
	case attempt.UseStream:
		return ex.relayStream(ctx, inst, res, timer)
	case attempt.UseBody:
		return ex.relayBody(ctx, inst, res, timer)
	case attempt.UseNone:
		ex.dispatcher.Log.Warn("answer does not continue the stream", "request", ex.ID, "upstream", inst.ID, "status", res.StatusCode,
			"events", ex.relay.events)
		return attempt.Failed, res.Drain()
	}
	return ex.handleFailure(ctx, inst, res, use)
}

// misdirected records that the process at the address of an upstream refused the attempt as meant for another one.
func (ex *exchange) misdirected(inst members.Instance, res *upstream.Response) {
	// The upstream may send this status for other reasons than a wrong identity, so the directory entry stays until the
	// platform changes it. This request does not go there again.
	ex.dispatcher.Log.Warn("misdirected", "request", ex.ID, "upstream", inst.ID, "address", inst.Address, "status", res.StatusCode)
	ex.dispatcher.Outliers.RecordUnreachable(ex.dispatcher.Clock.Now(), inst.ID, inst.Service)
}

// handleFailure reads a failure response. It relays a client error at once, and keeps a server error in case no retry
// succeeds. A response that exceeds maxBufferedBytes counts as broken off.
func (ex *exchange) handleFailure(
	ctx context.Context, inst members.Instance, res *upstream.Response, use attempt.Use,
) (attempt.Ending, bool) {
	body, whole, err := ex.readBounded(res.Body, maxBufferedBytes)
	if err == nil && !whole {
		// The body is longer, or there is no memory for more of it.
		err = &bodySizeError{limit: len(body)}
	}
	if err == nil {
		err = res.CheckBody(body)
	}
	if err != nil {
		return ex.interrupted(ctx, inst, err), false
	}
	if use == attempt.UseUnconfirmed {
		// Relaying the status would tell the client that the request was not run, which the upstream did not confirm.
		ex.dispatcher.Log.Warn("upstream refused without confirming that the request was not run", "request", ex.ID,
			"upstream", inst.ID, "status", res.StatusCode)
		return attempt.Lost, true
	}
	ex.failure = &bufferedResponse{status: res.StatusCode, header: res.Header, body: body}
	if use == attempt.UseFinal {
		if err := ex.relay.whole(ex.failure); err != nil {
			return attempt.ClientGone, true
		}
		return attempt.Complete, true
	}
	ex.dispatcher.Log.Info("upstream failure", "request", ex.ID, "upstream", inst.ID, "status", res.StatusCode)
	return attempt.Failed, true
}

// interrupted returns the ending of an attempt whose response broke off.
func (ex *exchange) interrupted(ctx context.Context, inst members.Instance, err error) attempt.Ending {
	if ctx.Err() != nil {
		return attempt.ClientGone
	}
	ex.dispatcher.Log.Warn("answer broken off", "request", ex.ID, "upstream", inst.ID, "events", ex.relay.events,
		"answered_ms", ex.dispatcher.Clock.Now().Sub(ex.answeredAt).Milliseconds(), "digest", ex.Digest.String(),
		"blocks", blockList(ex.sharedBlocks()), "error", err)
	ex.countOverLimit(err)
	ex.recordBroken(inst, err)
	if ex.relay.headSent {
		return attempt.Cut
	}
	return attempt.Lost
}

// countOverLimit counts an answer that ended for what it had too much of.
func (ex *exchange) countOverLimit(err error) {
	if part, ok := upstream.OverLimit(err); ok {
		ex.dispatcher.Scope.Tagged(map[string]string{"part": string(part)}).Counter("upstream_answers_over_limit").Inc(1)
	}
}

// relayStream relays events until the stream ends.
func (ex *exchange) relayStream(
	ctx context.Context, inst members.Instance, res *upstream.Response, timer *stallTimer,
) (attempt.Ending, bool) {
	events := upstream.NewEvents(res.Body, ex.Memory, ex.dispatcher.Clock)
	defer events.Close()
	ex.relay.beginRun()
	begun := false
	for {
		e, err := events.Next()
		// Without a length or chunks, nothing but the end of the connection marks the end of a stream.
		if errors.Is(err, io.EOF) && res.Unframed() && !begun {
			err = io.ErrUnexpectedEOF
		}
		if err == nil {
			err = res.CheckBody(e.Raw)
		}
		if errors.Is(err, io.EOF) {
			if err := ex.relay.end(res); err != nil {
				return attempt.ClientGone, true
			}
			ex.recordOutput(ex.dispatcher.Clock.Now())
			return attempt.Complete, true
		}
		if err != nil {
			return ex.interrupted(ctx, inst, err), false
		}
		begun = begun || !e.Comment
		now := ex.dispatcher.Clock.Now()
		ex.dispatcher.Unresponsive.ResponseReceived(now, inst.ID)
		ex.recordEvent(now, inst)
		timer.reset()
		if ex.relay.events == ex.eventsBefore {
			ex.recordOrigin(inst)
		}
		if err := ex.relay.event(res, e, !events.Buffered()); err != nil {
			var orderErr *eventOrderError
			if errors.As(err, &orderErr) {
				return ex.interrupted(ctx, inst, err), false
			}
			return attempt.ClientGone, false
		}
		if ex.relay.delivered() == attempt.Part {
			timer.suspend()
		}
		ex.recordProgress(false)
	}
}
