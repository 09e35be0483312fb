package sides

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"rattantrack.dev/core/candidates"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
)

// search is the state of one call without key or ticket while it is sent to one side after another.
type search struct {
	dispatcher *Dispatcher
	call       *Call
	progress   *progress
	order      candidates.Order
	retries    int
	// refusal is the latest refusal. unreachable reports whether a side could not be reached since the candidate order was
	// last exhausted.
	refusal     *peer.Refuse
	unreachable bool
}

// handleResult processes the end of an attempt; it returns true with the call's result if the call has ended.
func (s *search) handleResult(ctx context.Context, step candidates.Step, res attemptResult) (Result, bool) {
	switch res.ending {
	case endDone:
		s.dispatcher.notifyPrimary(ctx, s.call, s.order.Primary(), step.Side)
		return Result{Outcome: peer.OutcomeDone, Side: step.Side, Requests: s.order.Requests()}, true
	case endCallerGone:
		return callerGoneResult(ctx), true
	case endNoMemory:
		s.progress.started = s.progress.started || res.started
		return s.giveUp(CodeNoMemory), true
	case endRefused:
		s.handleRefusal(step, res.refusal)
		return Result{}, false
	case endMoved:
		s.handleMove(step, res)
		return Result{}, false
	case endUnreachable:
		// Nothing was received, so the next candidate follows without a pause.
		s.unreachable = true
		return Result{}, false
	case endNotStarted:
		// Nothing was run, so a retry is safe even for a call that is not idempotent.
		return s.retry(ctx, step)
	}
	s.progress.started = true
	if !s.call.Profile.Idempotent || !s.progress.resumable() {
		return s.giveUp(CodeLost), true
	}
	return s.retry(ctx, step)
}

// handleRefusal records a refusal and puts the sides that it names first in the candidate order.
func (s *search) handleRefusal(step candidates.Step, refusal *peer.Refuse) {
	s.refusal = refusal
	if refusal.CacheOwner != "" {
		s.progress.cacheOwner = refusal.CacheOwner
	}
	s.dispatcher.recordRefusal(step.Side, refusal)
	s.order.Prepend(refusal.Next)
	if refusal.Code == peer.RefuseOverloaded {
		s.order.RecordOverloaded(step.Side, settings.Tokens(refusal.Load))
	}
}

// handleMove starts a new candidate order with the side that should continue the answer. The old side still caches the
// chat's prefix.
func (s *search) handleMove(step candidates.Step, res attemptResult) {
	s.progress.started = s.progress.started || res.started
	s.progress.cacheOwner = step.Side
	s.progress.moves++
	s.progress.discardUnsent()
	s.order = s.dispatcher.newOrder(s.call, res.next)
}

// retry starts a new candidate order without the side that failed the call. It returns true with the call's result if no
// retry is left.
func (s *search) retry(ctx context.Context, step candidates.Step) (Result, bool) {
	if code, ok := s.awaitRetry(ctx); !ok {
		return s.giveUp(code), true
	}
	s.progress.discardUnsent()
	s.progress.failedSides = append(s.progress.failedSides, step.Side)
	s.resetOrder()
	return Result{}, false
}

// handleExhausted ends a call that no candidate accepted. It starts a new candidate order instead if a side was
// unreachable or refused for a transient reason.
func (s *search) handleExhausted(ctx context.Context) (Result, bool) {
	result := s.exhaustedResult()
	if !s.unreachable && !isTransient(s.refusal) {
		return result, true
	}
	if _, ok := s.awaitRetry(ctx); !ok {
		return result, true
	}
	s.resetOrder()
	s.unreachable = false
	return Result{}, false
}

// resetOrder starts a new candidate order without the sides that failed the call, unless no side would be left.
func (s *search) resetOrder() {
	s.order = s.dispatcher.newOrder(s.call, "")
	if len(s.progress.failedSides) < s.dispatcher.View.Usable(s.call.Profile.Service).Len() {
		s.order.Exclude(s.progress.failedSides)
	}
}

// awaitRetry waits before another attempt; it returns false with a code if none is allowed.
func (s *search) awaitRetry(ctx context.Context) (code string, ok bool) {
	if s.retries >= max(1, s.call.Profile.Retries) {
		return CodeUnreachable, false
	}
	if !s.dispatcher.budget.Allow() {
		return CodeBudget, false
	}
	delay := rand.N(min(maxRetryPause, firstRetryPause<<s.retries))
	s.retries++
	s.dispatcher.Scope.Counter("retries").Inc(1)
	select {
	case <-time.After(delay):
		return "", true
	case <-ctx.Done():
		return CodeDeadline, false
	}
}

// giveUp returns the result of a call that gets no further attempt. The outcome is "not run" only if no attempt can have
// started.
func (s *search) giveUp(code string) Result {
	result := Result{Outcome: peer.OutcomeNotRun, Code: code, Requests: s.order.Requests()}
	if s.progress.started || s.progress.written {
		result.Outcome = peer.OutcomeUnknown
		if code == CodeUnreachable {
			result.Code = CodeLost
		}
	}
	return result
}

// exhaustedResult returns the result of a call that no candidate accepted.
func (s *search) exhaustedResult() Result {
	if s.refusal == nil && s.unreachable {
		return s.giveUp(CodeUnreachable)
	}
	if s.refusal == nil {
		return s.giveUp(CodeNoUpstream)
	}
	result := s.giveUp(string(s.refusal.Code))
	result.RetryAfter = s.refusal.RetryAfter
	return result
}

// isTransient reports whether a refusal is due to the state of one side or one attempt, so that a retry can succeed.
func isTransient(refusal *peer.Refuse) bool {
	return refusal != nil && (refusal.Code == peer.RefuseLeaving || refusal.Code == peer.RefuseUpstreamUnreachable || refusal.Code == peer.RefuseWithdrawn)
}

// callerGoneResult returns the result of a call whose caller disconnected, whose deadline passed or whose router stopped while it ran.
func callerGoneResult(ctx context.Context) Result {
	code := CodeCallerGone
	var ended *shutdown.EndedError
	switch {
	case errors.As(context.Cause(ctx), &ended):
		code = CodeStopping
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = CodeDeadline
	}
	return Result{Outcome: peer.OutcomeUnknown, Code: code}
}
