package peer

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// RequestID identifies a caller's request across all its attempts.
type RequestID string

// AttemptID numbers the attempts of one request.
type AttemptID uint32

// Header is one header field of a request or a response.
type Header struct {
	Name  string
	Value string
}

// Submit sends one attempt of a request to a side.
type Submit struct {
	Request RequestID
	Attempt AttemptID
	Profile settings.ProfileName
	Team    settings.TeamID
	// Chat is the digest that identifies a returning chat, or zero for none.
	Chat uint64
	// Key is the caller's idempotency key, and Ticket a ticket that the side has issued.
	Key    string
	Ticket string
	// Remaining is the time from Sent, on the sender's clock, until the request's deadline.
	Remaining time.Duration
	Sent      clock.Instant
	Revision  settings.Revision
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	// PromptTokens is the router's estimate of the length of the prompt and Resume together.
	PromptTokens settings.Tokens
	// Resume is the text that the caller already has, and Offset the number of chunks that carried it.
	Resume string
	Offset uint32
	// Redirected reports that another side was tried before or has moved the request.
	Redirected bool
	// LastCandidate reports that no further side will be tried and that this one had the smallest load among the sides that
	// refused with RefuseOverloaded.
	LastCandidate bool
	// Moves is the number of times that a side has moved the request to another side to reduce its load.
	Moves int
	// CacheOwner is a side whose engine may export the chat's prefix.
	CacheOwner settings.UpstreamID
}

// Kind returns KindSubmit.
func (*Submit) Kind() Kind { return KindSubmit }

// Accept reports that the side has accepted the attempt.
type Accept struct {
	// Replayed reports that the response is the recorded one of an earlier run.
	Replayed bool
}

// Kind returns KindAccept.
func (*Accept) Kind() Kind { return KindAccept }

// RefuseCode is the reason why a side refused an attempt.
type RefuseCode string

// The reasons for a refusal. RefuseOverloaded also stands for a redirect to a side that has the prefix cached or less load,
// and RefuseMoved for an accepted request that was moved to another side before it started.
const (
	RefuseLeaving             RefuseCode = "leaving"
	RefuseOverloaded          RefuseCode = "overloaded"
	RefuseMoved               RefuseCode = "held_elsewhere"
	RefuseDeadline            RefuseCode = "deadline_too_short"
	RefuseTableFull           RefuseCode = "table_full"
	RefuseNotPrimary          RefuseCode = "not_home"
	RefuseUnconfirmed         RefuseCode = "home_cannot_rule_out_an_earlier_run"
	RefuseKeyReused           RefuseCode = "key_reused"
	RefuseIncarnation         RefuseCode = "upstream_was_replaced"
	RefuseTicketInvalid       RefuseCode = "ticket_invalid"
	RefuseWithdrawn           RefuseCode = "attempt_was_cancelled"
	RefuseResultLost          RefuseCode = "earlier_run_without_result"
	RefuseUnknownProfile      RefuseCode = "unknown_profile"
	RefuseUpstreamUnreachable RefuseCode = "upstream_unreachable"
)

// Refuse reports that the attempt was not run and never will be.
type Refuse struct {
	Code RefuseCode
	// KeyNotRun reports that the side also confirms that no run of the key or ticket was ever started.
	KeyNotRun bool
	// Next lists other sides to try, best first.
	Next []settings.UpstreamID
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// CacheOwner is a side whose engine may export the chat's prefix.
	CacheOwner settings.UpstreamID
	// Load is the load of the refusing side.
	Load float32
}

// Kind returns KindRefuse.
func (*Refuse) Kind() Kind { return KindRefuse }

// Chunk carries a part of a response's body.
type Chunk struct {
	Attempt AttemptID
	Seq     uint32
	Data    []byte
}

// Kind returns KindChunk.
func (*Chunk) Kind() Kind { return KindChunk }

// Head is the status and header of the upstream's response. It is sent before the chunks.
type Head struct {
	Status  int
	Headers []Header
}

// Kind returns KindHead.
func (*Head) Kind() Kind { return KindHead }

// Outcome is the result of a request or an attempt.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// End closes a response.
type End struct {
	Attempt AttemptID
	Outcome Outcome
	// Chunks is the number of the last chunk.
	Chunks uint32
	// MovedTo is the side that should continue the response after Chunks, empty if none.
	MovedTo settings.UpstreamID
	Reason  string
}

// Kind returns KindEnd.
func (*End) Kind() Kind { return KindEnd }

// Cancel requests that the side stops the attempt that was submitted on the same stream. A started attempt of a profile that is
// not idempotent continues, since it must not run a second time.
type Cancel struct {
}

// Kind returns KindCancel.
func (*Cancel) Kind() Kind { return KindCancel }

// AttemptState is the reply to AttemptQuery.
type AttemptState struct {
	// Started reports that the attempt was sent to the upstream.
	Started bool
	// Certain is false if the side has no record of the attempt and no room to record that it must not start.
	Certain bool
}

// Kind returns KindAttemptState.
func (*AttemptState) Kind() Kind { return KindAttemptState }

// AttemptQuery requests whether an attempt has started, and prevents its start if it has not.
type AttemptQuery struct {
	Request RequestID
	Attempt AttemptID
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Kind returns KindAttemptQuery.
func (*AttemptQuery) Kind() Kind { return KindAttemptQuery }

// IssueTicket requests a ticket from a side.
type IssueTicket struct {
	Profile settings.ProfileName
}

// Kind returns KindIssueTicket.
func (*IssueTicket) Kind() Kind { return KindIssueTicket }

// TicketIssued carries a ticket.
type TicketIssued struct {
	Ticket   string
	Lifetime time.Duration
}

// Kind returns KindTicketIssued.
func (*TicketIssued) Kind() Kind { return KindTicketIssued }

// ChatServed reports to a chat's primary which side served the chat.
type ChatServed struct {
	Chat uint64
	Side settings.UpstreamID
}

// Kind returns KindChatServed.
func (*ChatServed) Kind() Kind { return KindChatServed }
