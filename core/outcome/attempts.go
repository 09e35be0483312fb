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

// maxAttempts bounds the attempts that one side records.
const maxAttempts = 65536

// attempt is the record of one attempt.
type attempt struct {
	started   bool
	withdrawn bool
	// expires is the attempt's deadline, after which it cannot start and the record is not needed.
	expires clock.Instant
}

// Attempts records which attempts have started and which are withdrawn; its zero value is empty.
type Attempts struct {
	attempts  map[AttemptKey]attempt
	nextSweep clock.Instant
}

// Withdraw forbids the start of an attempt that has not started. It reports whether the attempt has started, and whether
// that is certain: a full table cannot record the withdrawal, and the attempt may still start.
func (a *Attempts) Withdraw(now clock.Instant, key AttemptKey, remaining time.Duration) (started, certain bool) {
	a.expire(now)
	have := a.attempts[key]
	if have.started {
		return true, true
	}
	if !have.withdrawn && len(a.attempts) >= maxAttempts {
		return false, false
	}
	a.put(key, attempt{withdrawn: true, expires: now.Add(remaining)})
	return false, true
}

// Start records that an attempt is about to be sent to the upstream; it reports false when it must not be sent.
func (a *Attempts) Start(now clock.Instant, key AttemptKey, remaining time.Duration) bool {
	a.expire(now)
	have, seen := a.attempts[key]
	if have.withdrawn || have.started {
		return false
	}
	if !seen && len(a.attempts) >= maxAttempts {
		return false
	}
	a.put(key, attempt{started: true, expires: now.Add(remaining)})
	return true
}

// Seen reports whether an attempt has been withdrawn or started.
func (a *Attempts) Seen(key AttemptKey) bool {
	have := a.attempts[key]
	return have.withdrawn || have.started
}

// Len returns the number of recorded attempts.
func (a *Attempts) Len() int { return len(a.attempts) }

func (a *Attempts) put(key AttemptKey, value attempt) {
	if a.attempts == nil {
		a.attempts = make(map[AttemptKey]attempt)
	}
	a.attempts[key] = value
}

// sweepInterval is the shortest time between two searches for expired entries.
const sweepInterval = time.Second

func (a *Attempts) expire(now clock.Instant) {
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(sweepInterval)
	for key, have := range a.attempts {
		if have.expires.Before(now) {
			delete(a.attempts, key)
		}
	}
}
