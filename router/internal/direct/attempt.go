package direct

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/upstream"
)

// Limits of one attempt.
const (
	// maxBuffered is the largest answer that is read whole before the client gets any of it, so that it can be repeated.
	maxBuffered = 256 << 10
	// slowFactor is how many objectives a repeatable request waits for its answer before it is repeated elsewhere.
	slowFactor = 2
	// minSlow and minStall bound from below how long a repeatable request waits for an answer or for an event.
	minSlow  = 250 * time.Millisecond
	minStall = 1200 * time.Millisecond
	// stallFactor is how many pause objectives a resumable stream may stand still before it is resumed elsewhere.
	stallFactor = 4
)

// attempt sends the request to one upstream and relays its answer.
func (x *exchange) attempt(ctx context.Context, i members.Instance) attempt.Ending {
	d := x.d
	now := d.Clock.Now()
	d.InFlight.Begin(i.ID)
	defer func() {
		d.InFlight.End(i.ID)
		d.Queues.RequestEnded(d.Clock.Now(), x.Service)
	}()
	conn, err := d.Connections.Get(ctx, i, !x.RouteConfig.Repeatable())
	if err != nil {
		if ctx.Err() != nil {
			return attempt.ClientGone
		}
		return attempt.NotSent
	}
	x.res.Upstream = i.ID
	if x.RouteConfig.Affinity {
		d.Affinity.RecordUse(now, x.PromptBlocks, i.ID)
	}
	d.Unresponsive.Begin(d.Clock.Now(), i.ID)
	defer d.Unresponsive.End(i.ID)
	stop := context.AfterFunc(ctx, conn.Close)
	watch := x.watch(conn)
	res, err := conn.Do(x.outgoing(i))
	if err != nil {
		x.stalled = watch.Stop()
		stop()
		conn.Close()
		return x.unanswered(ctx, i, err)
	}
	d.Unresponsive.ResponseReceived(d.Clock.Now(), i.ID)
	if x.res.FirstByte == 0 {
		x.res.FirstByte = d.Clock.Now().Sub(x.Arrived)
	}
	ending, whole := x.answered(ctx, i, res, watch)
	x.stalled = watch.Stop()
	// A connection that ctx or the watch closes cannot carry another request.
	if !stop() || x.stalled || !whole {
		conn.Close()
		return ending
	}
	d.Connections.Put(conn, res)
	return ending
}

// outgoing returns the request as this attempt sends it.
func (x *exchange) outgoing(i members.Instance) *upstream.Request {
	out := x.Outbound
	out.Header = maps.Clone(x.Outbound.Header)
	x.d.Dialect.WriteAttempt(out.Header, call.Attempt{
		Upstream:  i.ID,
		Timeout:   x.Remaining(x.d.Clock.Now()),
		Team:      x.Team,
		Rank:      x.Rank,
		LastEvent: x.relay.last,
	})
	return &out
}

// unanswered classifies an attempt without the head of an answer.
func (x *exchange) unanswered(ctx context.Context, i members.Instance, err error) attempt.Ending {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return attempt.NotSent
	}
	x.res.Runs++
	if ctx.Err() != nil {
		return attempt.ClientGone
	}
	x.d.Log.Warn("answer lost", "request", x.ID, "upstream", i.ID, "error", err)
	return attempt.Lost
}

// answered relays an answer; whole reports whether it was read to its end.
func (x *exchange) answered(ctx context.Context, i members.Instance, res *upstream.Response, watch *watch) (ending attempt.Ending, whole bool) {
	if res.Answer.NotRun || res.Answer.Misdirected {
		if res.Answer.Misdirected {
			x.misdirected(i, res)
		}
		_, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBuffered))
		return attempt.Refused, err == nil
	}
	x.res.Runs++
	x.res.Status = res.StatusCode
	if res.StatusCode >= http.StatusBadRequest {
		return x.failed(ctx, i, res)
	}
	if x.RouteConfig.Kind == settings.RouteStream && res.StatusCode == http.StatusOK {
		return x.stream(ctx, i, res, watch)
	}
	return x.body(ctx, i, res)
}

func (x *exchange) misdirected(i members.Instance, res *upstream.Response) {
	// The upstream may also answer so for other reasons than its identity, so the entry stays until the platform
	// changes it; the request does not go there again.
	x.d.Log.Warn("misdirected", "request", x.ID, "upstream", i.ID, "address", i.Address, "status", res.StatusCode)
	x.d.Outliers.RecordUnreachable(x.d.Clock.Now(), i.ID, i.Service)
}

// failed keeps a failure that the upstream answered whole, to be passed on if nothing better follows.
func (x *exchange) failed(ctx context.Context, i members.Instance, res *upstream.Response) (attempt.Ending, bool) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBuffered))
	if err != nil || len(body) == maxBuffered {
		return x.broken(ctx, i, err), false
	}
	if promisesNotRun(res.StatusCode) {
		// The status promises the client what the upstream did not state.
		x.d.Log.Warn("refusal without a statement", "request", x.ID, "upstream", i.ID, "status", res.StatusCode)
		return attempt.Lost, true
	}
	x.failure = &wholeAnswer{status: res.StatusCode, header: res.Header, body: body}
	if res.StatusCode < http.StatusInternalServerError {
		// The upstream's word on the request itself, which another upstream would repeat.
		if err := x.failure.send(x.sink); err != nil {
			return attempt.ClientGone, true
		}
		x.relay.headed = true
		return attempt.Complete, true
	}
	x.d.Log.Info("upstream failure", "request", x.ID, "upstream", i.ID, "status", res.StatusCode)
	return attempt.Failed, true
}

// promisesNotRun reports whether a status tells a client that its request was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (x *exchange) broken(ctx context.Context, i members.Instance, err error) attempt.Ending {
	if ctx.Err() != nil {
		return attempt.ClientGone
	}
	x.d.Log.Warn("answer broken off", "request", x.ID, "upstream", i.ID, "events", x.relay.events, "error", err)
	if x.relay.headed {
		return attempt.Cut
	}
	return attempt.Lost
}

// body relays an answer that is no stream, reading it whole first where it is small.
func (x *exchange) body(ctx context.Context, i members.Instance, res *upstream.Response) (attempt.Ending, bool) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBuffered))
	if err != nil {
		return x.broken(ctx, i, err), false
	}
	if len(body) < maxBuffered {
		whole := &wholeAnswer{status: res.StatusCode, header: res.Header, body: body}
		x.relay.headed = true
		if err := whole.send(x.sink); err != nil {
			return attempt.ClientGone, true
		}
		return attempt.Complete, true
	}
	x.relay.headed = true
	if err := x.sink.WriteHead(res.StatusCode, res.Header, res.ContentLength); err != nil {
		return attempt.ClientGone, false
	}
	if err := x.sink.Write(body, false); err != nil {
		return attempt.ClientGone, false
	}
	return x.copyRest(ctx, i, res)
}

func (x *exchange) copyRest(ctx context.Context, i members.Instance, res *upstream.Response) (attempt.Ending, bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if err := x.sink.Write(buf[:n], false); err != nil {
				return attempt.ClientGone, false
			}
		}
		if errors.Is(err, io.EOF) {
			return attempt.Complete, true
		}
		if err != nil {
			return x.broken(ctx, i, err), false
		}
	}
}

// stream relays events until the stream ends.
func (x *exchange) stream(ctx context.Context, i members.Instance, res *upstream.Response, watch *watch) (attempt.Ending, bool) {
	events := upstream.NewEvents(res.Body)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if err := x.relay.end(res); err != nil {
				return attempt.ClientGone, true
			}
			return attempt.Complete, true
		}
		if err != nil {
			return x.broken(ctx, i, err), false
		}
		x.d.Unresponsive.ResponseReceived(x.d.Clock.Now(), i.ID)
		watch.progress()
		if err := x.relay.event(res, e, !events.Buffered()); err != nil {
			var order *orderError
			if errors.As(err, &order) {
				return x.broken(ctx, i, err), false
			}
			return attempt.ClientGone, false
		}
	}
}

// watch closes the connection of a repeatable request that stands still for too long.
type watch struct {
	timer *time.Timer
	pause time.Duration
}

func (x *exchange) watch(conn *upstream.Conn) *watch {
	if !x.RouteConfig.Repeatable() || x.res.Runs+1 >= x.RouteConfig.Attempts {
		return &watch{}
	}
	slow := max(minSlow, slowFactor*x.RouteConfig.Objective)
	if x.RouteConfig.Kind == settings.RouteStream {
		slow = max(minStall, slow)
	}
	w := &watch{pause: max(minStall, stallFactor*x.RouteConfig.PauseObjective)}
	w.timer = time.AfterFunc(slow, conn.Close)
	return w
}

// progress restarts the time, after the first event with the limit for pauses.
func (w *watch) progress() {
	if w.timer != nil {
		w.timer.Reset(w.pause)
	}
}

// Stop ends the watch and reports whether it has closed the connection or is about to.
func (w *watch) Stop() bool { return w.timer != nil && !w.timer.Stop() }
