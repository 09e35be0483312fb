package router

import (
	"context"
	"sync/atomic"
	"time"

	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/fairqueue"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// job is one submitted attempt.
type job struct {
	submit   *peer.Submit
	profile  settings.Profile
	deadline clock.Instant
	decision admission.Decision
	item     *fairqueue.Item
	record   *outcome.Record
	slot     chan struct{}
	memory   *memorybudget.Lease
	// ctx bounds the run; a router's disconnect does not cancel it for calls that may not be repeated.
	ctx    context.Context
	cancel context.CancelFunc
	// moveTo names the side that should continue the answer.
	moveTo  settings.UpstreamID
	answer  outcome.Answer
	chunks  atomic.Uint32
	sinkErr error
	stopped bool
}

func (j *job) attempt() outcome.AttemptKey {
	return outcome.AttemptKey{Request: j.submit.Request, Attempt: j.submit.Attempt}
}

// key returns the ticket or key under which the call runs at most once, or "".
func (j *job) key() string {
	if j.submit.Ticket != "" {
		return j.submit.Ticket
	}
	return j.submit.Key
}

// stop cancels the job.
func (j *job) stop() {
	j.stopped = true
	j.cancel()
}

// refusal is the reason why a submission is not run.
type refusal struct {
	code       peer.RefuseCode
	keyNotRun  bool
	next       []settings.UpstreamID
	retryAfter time.Duration
	load       settings.Tokens
	cacheOwner settings.UpstreamID
}

func (r *refusal) message() *peer.Refuse {
	return &peer.Refuse{
		Code:       r.code,
		KeyNotRun:  r.keyNotRun,
		Next:       r.next,
		RetryAfter: r.retryAfter,
		CacheOwner: r.cacheOwner,
		Load:       float32(r.load),
	}
}
