package router

import (
	"context"
	"sync/atomic"
	"time"

	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/fairqueue"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// job is one attempt on its way through the door.
type job struct {
	submit   *peer.Submit
	profile  settings.Profile
	deadline clock.Instant
	verdict  admission.Decision
	item     *fairqueue.Item
	record   *outcome.Record
	slot     chan struct{}
	// ctx ends the run; for calls that may not be repeated a router that went away does not end it.
	ctx    context.Context
	cancel context.CancelFunc
	// moveTo names the side that should go on with the answer.
	moveTo  settings.UpstreamID
	answer  outcome.Answer
	chunks  atomic.Uint32
	sink    error
	stopped bool
}

func (j *job) attempt() outcome.AttemptKey {
	return outcome.AttemptKey{Request: j.submit.Request, Attempt: j.submit.Attempt}
}

// key returns the key under which the call runs at most once, or "".
func (j *job) key() string {
	if j.submit.Ticket != "" {
		return j.submit.Ticket
	}
	return j.submit.Key
}

// cut ends the job's run.
func (j *job) cut() {
	j.stopped = true
	j.cancel()
}

// refusal is why a submission is not run.
type refusal struct {
	code       peer.RefuseCode
	keyNotRun  bool
	next       []settings.UpstreamID
	retryAfter time.Duration
	load       settings.Tokens
	holder     settings.UpstreamID
}

func (r *refusal) message() *peer.Refuse {
	return &peer.Refuse{
		Code:       r.code,
		KeyNotRun:  r.keyNotRun,
		Next:       r.next,
		RetryAfter: r.retryAfter,
		CacheOwner: r.holder,
		Load:       float32(r.load),
	}
}
