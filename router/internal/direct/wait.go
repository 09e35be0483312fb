package direct

import (
	"context"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/waiting"
)

// waitForRoom waits until the request may be placed again. It returns false if the request has ended.
func (ex *exchange) waitForRoom(ctx context.Context, reason placement.Reason, start clock.Instant) bool {
	now := ex.dispatcher.Clock.Now()
	if reason == placement.NoUpstream {
		if ex.dispatcher.allEvacuated(ex.Service) {
			ex.giveUp(ctx, CodeEvacuated, evacuatedRetryAfter)
			return false
		}
		if ex.dispatcher.pauseLeft(now, ex.Service) > 0 {
			ex.giveUp(ctx, CodePaused, ex.retryAfter(defaultRetryAfter))
			return false
		}
		if now.Sub(start) >= waiting.NoUpstreamWait(ex.Remaining(start)) {
			ex.giveUp(ctx, CodeNoUpstream, defaultRetryAfter)
			return false
		}
		return ex.pause(ctx, noUpstreamPoll)
	}
	limit := ex.waitLimit(start)
	if ex.waiter == nil {
		ex.waiter = &waiting.Waiter{Rank: ex.Rank}
	}
	waiter := ex.waiter
	waiter.Deadline = limit
	if refusal := ex.dispatcher.Queues.Enter(now, ex.Service, waiter); refusal != nil {
		ex.giveUp(ctx, CodeOverloaded, refusal.RetryAfter)
		return false
	}
	defer ex.dispatcher.Queues.Leave(ex.Service, waiter)
	timer := time.NewTimer(limit.Sub(now))
	defer timer.Stop()
	poll := time.NewTicker(limitPoll)
	defer poll.Stop()
	for {
		select {
		case <-waiter.Ready():
			return true
		case <-poll.C:
			if now := ex.dispatcher.Clock.Now(); ex.dispatcher.RateLimits.Active(now) || ex.dispatcher.Cold.Limiting(now) {
				ex.dispatcher.Queues.WakeFirst(ex.Service)
			}
			continue
		case <-timer.C:
			ex.giveUp(ctx, CodeOverloaded, ex.dispatcher.Queues.RetryAfter(ex.dispatcher.Clock.Now(), ex.Service))
		case <-ctx.Done():
			ex.giveUp(ctx, CodeDeadline, ex.dispatcher.Queues.RetryAfter(ex.dispatcher.Clock.Now(), ex.Service))
		}
		return false
	}
}

// waitLimit returns when a queued request is given up: when the upstream could no longer answer within the objective or, if the
// route has none, after a quarter of the remaining time. A response that starts after its objective is late anyway, and the client
// can make better use of the remaining time.
func (ex *exchange) waitLimit(start clock.Instant) clock.Instant {
	limit := ex.RouteConfig.Objective
	if limit == 0 {
		return min(start.Add(ex.Remaining(start)/4), ex.Deadline)
	}
	limit -= ex.dispatcher.Demand.QueueTime(start, ex.Service, ex.Rank)
	if !ex.RouteConfig.Affinity {
		// A plain service answers when it is done.
		limit -= ex.dispatcher.runTime(ex.Request)
	}
	return min(start.Add(max(0, limit)), ex.Deadline)
}

// pause waits for d. It returns false if the request has ended.
func (ex *exchange) pause(ctx context.Context, d time.Duration) bool {
	if clock.Sleep(ctx, d) {
		return true
	}
	ex.giveUp(ctx, CodeDeadline, defaultRetryAfter)
	return false
}
