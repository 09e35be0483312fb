package direct

import (
	"context"

	"rattantrack.dev/core/clock"
)

// work returns the work of a request in the unit by which teams share the room of a service.
func (r *Request) work() float64 { return 1 }

// withinShare reports whether the request is within its team's share of an overloaded service. Otherwise it ends the request. Requests
// without a team do not compete.
func (ex *exchange) withinShare(ctx context.Context) bool {
	d := ex.dispatcher
	now := d.Clock.Now()
	if ex.Team == "" || d.FairShare.Admit(now, ex.Service, ex.Rank, ex.Team, ex.orderKey(), ex.work()) {
		return true
	}
	d.Scope.Counter("team_share_refusals").Inc(1)
	ex.giveUp(ctx, CodeTeamShare, d.Queues.RetryAfter(now, ex.Service))
	return false
}

// recordRoom records that the request has found room.
func (ex *exchange) recordRoom(now clock.Instant) {
	if ex.Team != "" && ex.res.Attempts == 0 {
		ex.dispatcher.FairShare.Served(now, ex.Service, ex.Rank, ex.work())
	}
}

// recordNoRoom records that the request has found no room.
func (ex *exchange) recordNoRoom() {
	d := ex.dispatcher
	if ex.Team != "" && d.FairShare.NoRoom(d.Clock.Now(), ex.Service, ex.Rank, ex.work()) {
		d.Scope.Counter("team_share_limits").Inc(1)
		d.Log.Warn("teams limited to their shares", "request", ex.ID, "service", ex.Service, "rank", ex.Rank)
	}
}
