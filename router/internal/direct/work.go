package direct

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cost"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/work"
)

// malformedLogInterval is the time between two log lines about malformed header fields; the metric counts all.
const malformedLogInterval = 10 * time.Second

// estimateBuckets are the classes of actual to estimated output.
var estimateBuckets = tally.ValueBuckets{0.1, 0.25, 0.5, 0.67, 0.8, 1, 1.25, 1.5, 2, 4, 10}

// attemptWork follows the work of one attempt at its upstream; the zero value follows none.
type attemptWork struct {
	entry *work.Entry
	// prompt is the part of the prompt that the upstream has not cached, as far as this router knows.
	prompt settings.Tokens
	// sentAt is when the attempt began, lastEvent when its last event came, 0 before the first one.
	sentAt, lastEvent clock.Instant
}

// beginWork counts the work of an attempt at an upstream that caches prompts.
func (ex *exchange) beginWork(now clock.Instant, inst members.Instance) {
	ex.attemptWork = attemptWork{}
	if !ex.RouteConfig.Affinity {
		return
	}
	d := ex.dispatcher
	if ex.res.Estimate.Median == 0 {
		ex.res.Estimate = d.Costs.Estimate(now, ex.costRequest())
	}
	ex.attemptWork = attemptWork{prompt: max(0, ex.PromptTokens-ex.res.Choice.CachedTokens), sentAt: now}
	events := max(1, int(ex.res.Estimate.Median)-ex.relay.events)
	ex.attemptWork.entry = d.Work.Begin(inst.ID, work.Amount{Prompt: ex.attemptWork.prompt, Events: events})
}

// costRequest returns what is known of the request's cost.
func (ex *exchange) costRequest() cost.Request {
	return cost.Request{
		Route: ex.Route, Team: ex.Team, PromptTokens: ex.PromptTokens, MaxTokens: ex.MaxTokens, ExpectedTokens: ex.ExpectedTokens,
	}
}

// recordEvent records that an event of the stream has come.
func (ex *exchange) recordEvent(now clock.Instant, inst members.Instance) {
	w := &ex.attemptWork
	if w.entry == nil {
		return
	}
	w.entry.Event()
	switch {
	case w.lastEvent == 0 && ex.res.Choice.Load >= inst.Slots:
		// The request may have waited for a slot, so the time says nothing about the prefill.
	case w.lastEvent == 0:
		ex.dispatcher.Work.RecordPrefill(ex.Service, w.prompt, now.Sub(w.sentAt))
	default:
		pause := now.Sub(w.lastEvent)
		ex.res.LongestPause = max(ex.res.LongestPause, pause)
		ex.dispatcher.Work.RecordPause(now, ex.Service, inst.ID, pause)
	}
	w.lastEvent = now
}

// recordOutput records the output of a stream that ran from its beginning to its end.
func (ex *exchange) recordOutput(now clock.Instant) {
	if ex.attemptWork.entry == nil || ex.LastEvent != "" {
		return
	}
	ratio := ex.dispatcher.Costs.Record(now, ex.costRequest(), ex.relay.events)
	ex.dispatcher.Scope.Histogram("output_estimate_ratio", estimateBuckets).RecordValue(ratio)
}

// recordLoad records the speed that an upstream states.
func (ex *exchange) recordLoad(now clock.Instant, inst members.Instance, a call.Answer) {
	if a.Load != nil && a.Load.Slowdown > 0 {
		ex.dispatcher.Work.Record(now, inst.ID, a.Load.Slowdown)
	}
	ex.dispatcher.recordMalformed(now, a.Malformed, "request", ex.ID, "upstream", inst.ID)
}

// recordMalformed counts a malformed header field that was left out of account, and logs it from time to time.
func (d *Dispatcher) recordMalformed(now clock.Instant, m *call.MalformedField, fields ...any) {
	if m == nil {
		return
	}
	d.Scope.Tagged(map[string]string{"field": m.Name}).Counter("malformed_fields").Inc(1)
	last := d.malformedLogged.Load()
	if last != 0 && now.Sub(clock.Instant(last)) < malformedLogInterval || !d.malformedLogged.CompareAndSwap(last, int64(now)) {
		return
	}
	d.Log.Warn("malformed header field", append(fields, "field", m.Name, "value", m.Value)...)
}

// addWork adds the work and the speed of the candidates, if upstreams state how fast they work and the time to prefill is known.
func (d *Dispatcher) addWork(
	now clock.Instant, r *Request, request *placement.Request, candidates []placement.Candidate, ids []settings.UpstreamID,
) {
	if !r.RouteConfig.Affinity || !d.Work.Active(now) {
		return
	}
	perToken := d.Work.PrefillTime(r.Service, 1000) / 1000
	if perToken <= 0 {
		return
	}
	request.PromptTokens = r.PromptTokens
	request.Times = placement.Times{
		PerToken: perToken, FirstEvent: r.RouteConfig.Objective, Pause: r.RouteConfig.PauseObjective,
	}
	waiting, slowdown := d.Work.Waiting(now, ids, perToken), d.Work.Excess(now, ids)
	list := make([]placement.Work, len(ids))
	for i := range ids {
		list[i] = placement.Work{Waiting: waiting[i], Slowdown: slowdown[i]}
		candidates[i].Work = &list[i]
	}
}
