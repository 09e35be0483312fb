package outcome

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
)

// AttemptKey identifies one attempt of one request.
type AttemptKey struct {
	Request peer.RequestID
	Attempt peer.AttemptID
}

// maxAttempts bounds the attempts that one side remembers.
const maxAttempts = 65536

// attempt is what a side knows of one attempt.
type attempt struct {
	started bool
	never   bool
	// until is when the attempt's own deadline keeps it from starting anyway.
	until clock.Instant
}

// Attempts remembers which attempts have started and which must never start; its zero value is empty.
type Attempts struct {
	known map[AttemptKey]attempt
	sweep clock.Instant
}

// Withdraw forbids an attempt that has not started; it reports whether the attempt has started, and whether
// that answer can be relied on.
func (a *Attempts) Withdraw(now clock.Instant, key AttemptKey, left time.Duration) (started, certain bool) {
	a.expire(now)
	have := a.known[key]
	if have.started {
		return true, true
	}
	if !have.never && len(a.known) >= maxAttempts {
		return false, false
	}
	a.put(key, attempt{never: true, until: now.Add(left)})
	return false, true
}

// Start notes that an attempt is being handed to the upstream; it reports false when it must not be.
func (a *Attempts) Start(now clock.Instant, key AttemptKey, left time.Duration) bool {
	a.expire(now)
	have, seen := a.known[key]
	if have.never || have.started {
		return false
	}
	if !seen && len(a.known) >= maxAttempts {
		return false
	}
	a.put(key, attempt{started: true, until: now.Add(left)})
	return true
}

// Seen reports whether an attempt has been withdrawn or started.
func (a *Attempts) Seen(key AttemptKey) bool {
	have := a.known[key]
	return have.never || have.started
}

// Len returns the number of attempts remembered.
func (a *Attempts) Len() int { return len(a.known) }

func (a *Attempts) put(key AttemptKey, value attempt) {
	if a.known == nil {
		a.known = make(map[AttemptKey]attempt)
	}
	a.known[key] = value
}

// sweepInterval spaces the searches for attempts whose deadline has passed.
const sweepInterval = time.Second

func (a *Attempts) expire(now clock.Instant) {
	if now.Before(a.sweep) {
		return
	}
	a.sweep = now.Add(sweepInterval)
	for key, have := range a.known {
		if have.until.Before(now) {
			delete(a.known, key)
		}
	}
}
