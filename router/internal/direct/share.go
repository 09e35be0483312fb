package direct

import (
	"context"

	"rattantrack.dev/core/clock"
)

// tokensPerEvent is the number of prompt tokens whose prefill takes an engine as long as one event of a stream in a full batch.
const tokensPerEvent = 32

// expectedWork returns the work by which teams share the room of a service: at an engine, the events of the answer and the prompt tokens
// that no other request shares; at a plain service, one request.
func (ex *exchange) expectedWork(now clock.Instant) float64 {
	if !ex.RouteConfig.Affinity {
		return 1
	}
	if ex.res.Estimate.Median == 0 {
		ex.res.Estimate = ex.dispatcher.Costs.Estimate(now, ex.costRequest())
	}
	return float64(ex.res.Estimate.Median) + float64(max(0, ex.PromptTokens-ex.SharedTokens()))/tokensPerEvent
}

// withinShare reports whether the request is within its team's share of an overloaded service. Otherwise it ends the request. Requests
// without a team do not compete.
func (ex *exchange) withinShare(ctx context.Context) bool {
	d := ex.dispatcher
	now := d.Clock.Now()
	if ex.Team == "" || d.FairShare.Admit(now, ex.Service, ex.Rank, ex.Team, ex.orderKey(), ex.expectedWork(now)) {
		return true
	}
	d.Scope.Counter("team_share_refusals").Inc(1)
	ex.giveUp(ctx, CodeTeamShare, d.Queues.RetryAfter(now, ex.Service))
	return false
}

// recordRoom records that the request has found room.
func (ex *exchange) recordRoom(now clock.Instant) {
	if ex.Team != "" && ex.res.Attempts == 0 {
		ex.dispatcher.FairShare.Served(now, ex.Service, ex.Rank, ex.expectedWork(now))
	}
}

// recordNoRoom records that the request has found no room.
func (ex *exchange) recordNoRoom() {
	d := ex.dispatcher
	now := d.Clock.Now()
	if ex.Team != "" && d.FairShare.NoRoom(now, ex.Service, ex.Rank, ex.expectedWork(now)) {
		d.Scope.Counter("team_share_limits").Inc(1)
		d.Log.Warn("teams limited to their shares", "request", ex.ID, "service", ex.Service, "rank", ex.Rank)
	}
}
