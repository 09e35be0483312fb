package peer

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// RequestID identifies one caller's request through all its attempts.
type RequestID string

// AttemptID numbers the attempts of one request.
type AttemptID uint32

// Header is one header field of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// Submit hands one attempt of a request to a side.
type Submit struct {
	Request RequestID
	Attempt AttemptID
	Profile settings.ProfileName
	Team    settings.TeamID
	// Chat is the digest that identifies a returning chat, zero for none.
	Chat uint64
	// Key is the caller's idempotency key, Ticket a ticket issued by the side.
	Key    string
	Ticket string
	// Remaining is the time until the request's deadline, counted from Sent on the sender's clock.
	Remaining time.Duration
	Sent      clock.Instant
	Revision  settings.Revision
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	// PromptTokens is the router's estimate of the prompt's length.
	PromptTokens settings.Tokens
	// Resume is the text that the caller already has, Offset the number of chunks that carried it.
	Resume string
	Offset uint32
	// Redirected says that another side sent the request here.
	Redirected bool
	// LastCandidate says that every other side asked had more load.
	LastCandidate bool
	// Moves counts the sides that carried too much and moved the request away.
	Moves int
	// CacheOwner is a side that may export the chat's prefix.
	CacheOwner settings.UpstreamID
}

// Kind returns KindSubmit.
func (*Submit) Kind() Kind { return KindSubmit }

// Accept says that the side has taken the attempt.
type Accept struct {
	// Replayed says that the answer is the recorded one of an earlier run.
	Replayed bool
}

// Kind returns KindAccept.
func (*Accept) Kind() Kind { return KindAccept }

// RefuseCode says why a side refused an attempt.
type RefuseCode string

// The reasons for a refusal.
const (
	RefuseLeaving       RefuseCode = "leaving"
	RefuseOverloaded    RefuseCode = "overloaded"
	RefuseHeldElsewhere RefuseCode = "held_elsewhere"
	RefuseDeadline      RefuseCode = "deadline_too_short"
	RefuseTableFull     RefuseCode = "table_full"
	RefuseNotPrimary    RefuseCode = "not_home"
	RefusePrimaryUnsure RefuseCode = "home_cannot_rule_out_an_earlier_run"
	RefuseKeyReused     RefuseCode = "key_reused"
	RefuseIncarnation   RefuseCode = "upstream_was_replaced"
	RefuseTicket        RefuseCode = "ticket_invalid"
	RefuseCancelled     RefuseCode = "attempt_was_cancelled"
	RefuseResultLost    RefuseCode = "earlier_run_without_result"
	RefuseProfile       RefuseCode = "unknown_profile"
	RefuseUpstream      RefuseCode = "upstream_unreachable"
)

// Refuse says that the attempt was not run and never will be.
type Refuse struct {
	Code RefuseCode
	// KeyNotRun is true when the side also vouches that no run of the key or ticket was ever started.
	KeyNotRun bool
	// Next names sides to ask instead, best first.
	Next []settings.UpstreamID
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// CacheOwner is a side that may export the chat's prefix.
	CacheOwner settings.UpstreamID
	// Load is the load of the refusing side.
	Load float32
}

// Kind returns KindRefuse.
func (*Refuse) Kind() Kind { return KindRefuse }

// Chunk is one piece of an answer.
type Chunk struct {
	Attempt AttemptID
	Seq     uint32
	Data    []byte
}

// Kind returns KindChunk.
func (*Chunk) Kind() Kind { return KindChunk }

// Head is the status and header of the upstream's answer, sent before its chunks.
type Head struct {
	Status  int
	Headers []Header
}

// Kind returns KindHead.
func (*Head) Kind() Kind { return KindHead }

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// End closes an answer and tells how many chunks it had.
type End struct {
	Attempt AttemptID
	Outcome Outcome
	// Chunks is the number of the last chunk.
	Chunks uint32
	// Moved names the side that should go on with the answer after Chunks.
	Moved  settings.UpstreamID
	Reason string
}

// Kind returns KindEnd.
func (*End) Kind() Kind { return KindEnd }

// Cancel stops an attempt on the stream that submitted it; whoever gave it wants no answer.
type Cancel struct {
}

// Kind returns KindCancel.
func (*Cancel) Kind() Kind { return KindCancel }

// AttemptState answers Query.
type AttemptState struct {
	// Started says that the attempt was handed to the upstream.
	Started bool
	// Certain is false when the side cannot tell or cannot forbid the start.
	Certain bool
}

// Kind returns KindState.
func (*AttemptState) Kind() Kind { return KindState }

// AttemptQuery asks whether an attempt was started, and forbids its start if it was not.
type AttemptQuery struct {
	Request RequestID
	Attempt AttemptID
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Kind returns KindQuery.
func (*AttemptQuery) Kind() Kind { return KindQuery }

// IssueTicket asks a side for a ticket.
type IssueTicket struct {
	Profile settings.ProfileName
}

// Kind returns KindIssue.
func (*IssueTicket) Kind() Kind { return KindIssue }

// TicketIssued carries a ticket.
type TicketIssued struct {
	Ticket   string
	Lifetime time.Duration
}

// Kind returns KindIssued.
func (*TicketIssued) Kind() Kind { return KindIssued }

// ChatPlaced tells a chat's home which side served the chat.
type ChatPlaced struct {
	Chat uint64
	Side settings.UpstreamID
}

// Kind returns KindPlaced.
func (*ChatPlaced) Kind() Kind { return KindPlaced }
