package sides

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Call is one caller's request.
type Call struct {
	ID          peer.RequestID
	ProfileName settings.ProfileName
	Profile     settings.Profile
	Service     settings.Service
	Team        settings.TeamID
	// Chat identifies a returning chat, zero for none.
	Chat uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens settings.Tokens
	// Hint is the side to try first, as named by the caller.
	Hint settings.UpstreamID
	// Key and Ticket make a call run at most once; at most one of them is set.
	Key     string
	Ticket  string
	Method  string
	Path    string
	Headers []peer.Header
	Body    []byte
	// Stream means that the caller reads the answer as server-sent events.
	Stream   bool
	Deadline clock.Instant
	// Memory is what the call holds, nil for no bound.
	Memory *memorybudget.Lease
}

// Sink writes the answer to the caller. It gets each part of the answer once and in order.
type Sink interface {
	WriteHead(status int, headers []peer.Header, side settings.UpstreamID) error
	// Write writes one chunk and, if flush is set, sends all that is written so far.
	Write(data []byte, flush bool) error
}

// Result is the final result of a call.
type Result struct {
	Outcome    peer.Outcome
	Code       string
	RetryAfter time.Duration
	// Side is the upstream that served the call, empty if none did.
	Side settings.UpstreamID
	// Attempts is the number of attempts submitted to sides.
	Attempts int
	// Requests is the number of sides tried in the last candidate order.
	Requests int
}

// Codes of results that the router determines itself; other codes are those of a side's refusal.
const (
	CodeNoUpstream  = "no_upstream"
	CodeUnreachable = "upstream_unreachable"
	CodeDeadline    = "deadline"
	CodeLost        = "answer_lost"
	CodeCallerGone  = "caller_gone"
	CodeStopping    = "stopping"
	CodeBudget      = "retry_budget_spent"
	CodeNoMemory    = "no_memory"
)
