package attempt

import "time"

// Ending is how an attempt ended.
type Ending string

// The endings of an attempt.
const (
	// Complete is an answer that reached the client whole.
	Complete Ending = "whole"
	// NotSent is an upstream that was not reached or cannot have read the request.
	NotSent Ending = "not_sent"
	// Refused is an upstream's statement that it did not run the request.
	Refused Ending = "refused"
	// Failed is a whole answer of the upstream that reports a failure.
	Failed Ending = "failed"
	// Lost is a request that was sent and has no whole answer.
	Lost Ending = "lost"
	// Cut is a stream that broke off after the client got its first event.
	Cut Ending = "cut"
	// ClientGone is a client that no longer waits.
	ClientGone Ending = "client_gone"
)

// State is what the decision depends on.
type State struct {
	Ending Ending
	// Repeatable says that the request may run again after a run whose result is unknown.
	Repeatable bool
	// Runs is the number of upstreams that may have run the request, MaxRuns the largest number that may.
	Runs, MaxRuns int
	// Attempts counts the attempts, those that cannot have run included.
	Attempts int
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// Step is what follows.
type Step string

// The steps after an attempt.
const (
	// Stop is the end of the request with what it has.
	Stop Step = "stop"
	// Retry is another attempt, which counts as a repeat at the service.
	Retry Step = "again"
	// Reconnect is another attempt after one that no upstream has seen.
	Reconnect Step = "reconnect"
)

// Bounds of what one request may cost.
const (
	// maxTries bounds the attempts of one request, whatever their endings.
	maxTries = 6
	// minLeft is the time below which another attempt has no prospect of an answer.
	minLeft = 20 * time.Millisecond
)

// Next returns what follows an attempt. It answers runs of failures in which many requests fail at once: only requests
// that may run again are repeated, and the caller asks the budget of the fleet for each repeat.
func Next(s State) Step {
	if s.Ending == Complete || s.Ending == ClientGone || s.Attempts >= maxTries || s.Remaining < minLeft {
		return Stop
	}
	switch s.Ending {
	case NotSent:
		return Reconnect
	case Refused:
		return Retry
	}
	if s.Repeatable && s.Runs < s.MaxRuns {
		return Retry
	}
	return Stop
}
