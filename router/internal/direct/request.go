package direct

import (
	"net/http"
	"time"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/upstream"
)

// Request is a client's request on its way to an upstream.
type Request struct {
	call.Request
	Route       settings.RouteName
	RouteConfig settings.Route
	Service     settings.ServiceName
	Team        settings.TeamID
	Rank        int
	Revision    settings.Revision
	// Arrived is when the request was read, Deadline when the client or the route's timeout gives up.
	Arrived, Deadline clock.Instant
	// Outbound is the request as an upstream gets it, without what changes with each attempt.
	Outbound upstream.Request
}

// Remaining returns the time until the deadline.
func (r *Request) Remaining(now clock.Instant) time.Duration { return r.Deadline.Sub(now) }

// Sink takes an answer for the client.
type Sink interface {
	// WriteHead begins the answer; length is the size of the body, or -1 where it is not known.
	WriteHead(status int, h http.Header, length int64) error
	// Write adds to the body; flush says that nothing more has arrived yet.
	Write(data []byte, flush bool) error
}

// Codes of outcomes.
const (
	CodeNoUpstream  = "no_upstream"
	CodeOverloaded  = "overloaded"
	CodeDeadline    = "deadline"
	CodeUnreachable = "unreachable"
	CodeRefused     = "refused_by_upstream"
	CodeLost        = "answer_lost"
	CodeCut         = "answer_cut"
	CodeClientGone  = "client_gone"
	CodeUpstream    = "upstream_failure"
)

// Result is what became of a request.
type Result struct {
	Outcome    peer.Outcome
	Code       string
	RetryAfter time.Duration
	Status     int
	Upstream   settings.UpstreamID
	// Runs is the number of upstreams that may have run the request, Attempts the number of attempts.
	Runs, Attempts int
	// Events is the number of events that reached the client.
	Events int
	// QueueTime is the time in the queue for an upstream with room, FirstByte the time to the head of the answer.
	QueueTime, FirstByte time.Duration
	// HeadSent says that the client has got the head of an answer.
	HeadSent bool
	// Last is the ending of the last attempt, Choice what decided its upstream.
	Last   attempt.Ending
	Choice placement.Choice
}
