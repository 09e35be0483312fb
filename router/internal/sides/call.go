package sides

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Call is one caller's request.
type Call struct {
	ID           peer.RequestID
	Name         settings.ProfileName
	Profile      settings.Profile
	Service      settings.Service
	Team         settings.TeamID
	Chat         uint64
	PromptTokens settings.Tokens
	Hint         settings.UpstreamID
	Key          string
	Ticket       string
	Method       string
	Path         string
	Headers      []peer.Header
	Body         []byte
	// Stream says that the caller reads the answer as events.
	Stream   bool
	Deadline clock.Instant
}

// Sink takes the answer for the caller, in order and without repetition.
type Sink interface {
	Head(status int, headers []peer.Header, side settings.UpstreamID) error
	// Write passes one piece on, to the caller at once where flush is set.
	Write(data []byte, flush bool) error
}

// Result is what became of a call.
type Result struct {
	Outcome    peer.Outcome
	Code       string
	RetryAfter time.Duration
	// Side is the upstream that served the call.
	Side     settings.UpstreamID
	Attempts int
	Asks     int
}

// Codes of results that no side gave.
const (
	CodeNoUpstream  = "no_upstream"
	CodeUnreachable = "upstream_unreachable"
	CodeDeadline    = "deadline"
	CodeLost        = "answer_lost"
	CodeCallerGone  = "caller_gone"
	CodeBudget      = "retry_budget_spent"
)
