package attempt

import "time"

// Ending is how an attempt ended.
type Ending string

// Endings of an attempt.
const (
	// Complete means that the client got a complete answer.
	Complete Ending = "whole"
	// NotSent means that the upstream was not reached or cannot have read the request.
	NotSent Ending = "not_sent"
	// Refused means that the upstream stated that it did not run the request.
	Refused Ending = "refused"
	// Failed means that the upstream's answer is complete and reports a failure.
	Failed Ending = "failed"
	// Lost means that the request was sent and no complete answer arrived.
	Lost Ending = "lost"
	// Cut means that an answer broke off after a part of it had reached the client.
	Cut Ending = "cut"
	// ClientGone means that the client no longer waits.
	ClientGone Ending = "client_gone"
)

// State is the state of a request after an attempt.
type State struct {
	Ending Ending
	// Delivered is what the client has of its answer.
	Delivered Delivered
	// Repeatable means that the request may run again after a run whose result is unknown.
	Repeatable bool
	// Runs is the number of attempts whose upstream may have run the request; MaxRuns is the limit for it.
	Runs, MaxRuns int
	// Attempts is the number of all attempts, including those that cannot have run.
	Attempts int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Step is what follows an attempt.
type Step string

// Steps after an attempt.
const (
	// Stop ends the request with the result that it has.
	Stop Step = "stop"
	// Retry starts another attempt, which counts against the service's retry budget.
	Retry Step = "again"
	// Reconnect starts another attempt after one that no upstream has seen.
	Reconnect Step = "reconnect"
)

// Limits of one request.
const (
	// maxAttempts limits the attempts of one request, whatever their endings.
	maxAttempts = 6
	// minRemaining is the remaining time below which another attempt cannot be expected to get an answer.
	minRemaining = 20 * time.Millisecond
)

// Next returns the step after an attempt. To limit the load when many requests fail at once, a request that may have run is
// retried only if it is repeatable, and the caller must take each Retry from the fleet's retry budget.
func Next(s State) Step {
	if s.Ending == Complete || s.Ending == ClientGone || s.Delivered == Part || s.Attempts >= maxAttempts || s.Remaining < minRemaining {
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
