package sides

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"rattantrack.dev/core/candidates"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// search is one call's way over the sides until one of them answers or the call is given up.
type search struct {
	d       *Dispatcher
	c       *Call
	p       *progress
	walk    candidates.Order
	retries int
	// refusal is the latest refusal, and unreachable says that a side could not be reached in this walk.
	refusal     *peer.Refuse
	unreachable bool
}

// attempted takes in the end of an attempt; it reports the call's result where there is one.
func (s *search) attempted(ctx context.Context, step candidates.Step, r report) (Result, bool) {
	switch r.ending {
	case endDone:
		s.d.tellHome(ctx, s.c, s.walk.Primary(), step.Side)
		return Result{Outcome: peer.OutcomeDone, Side: step.Side, Asks: s.walk.Requests()}, true
	case endCaller:
		return callerGone(ctx), true
	case endRefused:
		s.refused(step, r.refuse)
		return Result{}, false
	case endMoved:
		s.moved(step, r)
		return Result{}, false
	case endUnreachable:
		// Nothing was sent, so the next side can be asked at once.
		s.unreachable = true
		return Result{}, false
	case endNotSent:
		// Nothing was run, so going on is safe for every call.
		return s.again(ctx, step)
	}
	s.p.started = true
	if !s.c.Profile.Idempotent || !s.p.resumable() {
		return s.given(CodeLost), true
	}
	return s.again(ctx, step)
}

// refused follows a side's word where to go instead.
func (s *search) refused(step candidates.Step, r *peer.Refuse) {
	s.refusal = r
	if r.CacheOwner != "" {
		s.p.holder = r.CacheOwner
	}
	s.d.note(step.Side, r)
	s.walk.Prepend(r.Next)
	if r.Code == peer.RefuseOverloaded {
		s.walk.RecordOverloaded(step.Side, settings.Tokens(r.Load))
	}
}

// moved goes on at the side to which the answer moves; the old side still holds the prefix.
func (s *search) moved(step candidates.Step, r report) {
	s.p.started = s.p.started || r.started
	s.p.holder = step.Side
	s.p.moves++
	s.p.restart()
	s.walk = s.d.walk(s.c, r.moved)
}

// again begins a new walk without the side that has failed the call, if the call may be repeated.
func (s *search) again(ctx context.Context, step candidates.Step) (Result, bool) {
	if code, ok := s.mayRetry(ctx); !ok {
		return s.given(code), true
	}
	s.p.restart()
	s.p.failed = append(s.p.failed, step.Side)
	s.walkAgain()
	return Result{}, false
}

// exhausted ends a call that no side has taken, or begins a new walk where a side was only just going away.
func (s *search) exhausted(ctx context.Context) (Result, bool) {
	given := s.refusedByAll()
	if !s.unreachable && !passing(s.refusal) {
		return given, true
	}
	if _, ok := s.mayRetry(ctx); !ok {
		return given, true
	}
	s.walkAgain()
	s.unreachable = false
	return Result{}, false
}

// walkAgain begins again without the sides that have failed the call, unless that leaves none.
func (s *search) walkAgain() {
	s.walk = s.d.walk(s.c, "")
	if len(s.p.failed) < s.d.View.Usable(s.c.Profile.Service).Len() {
		s.walk.Exclude(s.p.failed)
	}
}

// mayRetry waits before another attempt, or reports why there is none.
func (s *search) mayRetry(ctx context.Context) (code string, ok bool) {
	if s.retries >= max(1, s.c.Profile.Retries) {
		return CodeUnreachable, false
	}
	if !s.d.budget.Allow() {
		return CodeBudget, false
	}
	pause := rand.N(min(maxPause, firstPause<<s.retries))
	s.retries++
	s.d.Scope.Counter("retries").Inc(1)
	select {
	case <-time.After(pause):
		return "", true
	case <-ctx.Done():
		return CodeDeadline, false
	}
}

// given is the result of a call that is given up: it was not run only if no attempt has started.
func (s *search) given(code string) Result {
	r := Result{Outcome: peer.OutcomeNotRun, Code: code, Asks: s.walk.Requests()}
	if s.p.started || s.p.written {
		r.Outcome = peer.OutcomeUnknown
		if code == CodeUnreachable {
			r.Code = CodeLost
		}
	}
	return r
}

// refusedByAll is the result of a call that every side asked has refused.
func (s *search) refusedByAll() Result {
	if s.refusal == nil && s.unreachable {
		return s.given(CodeUnreachable)
	}
	if s.refusal == nil {
		return s.given(CodeNoUpstream)
	}
	r := s.given(string(s.refusal.Code))
	r.RetryAfter = s.refusal.RetryAfter
	return r
}

// passing reports whether a refusal speaks of one side that goes away, so that asking anew soon can help.
func passing(r *peer.Refuse) bool {
	return r != nil && (r.Code == peer.RefuseLeaving || r.Code == peer.RefuseUpstream || r.Code == peer.RefuseCancelled)
}

// callerGone is the result of a call whose caller left or whose deadline passed while it ran.
func callerGone(ctx context.Context) Result {
	code := CodeCallerGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = CodeDeadline
	}
	return Result{Outcome: peer.OutcomeUnknown, Code: code}
}
