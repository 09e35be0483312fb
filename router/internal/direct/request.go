package direct

import (
	"net/http"
	"strings"
	"time"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cost"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/upstream"
)

// Request is a client request with its route and its deadline.
type Request struct {
	call.Request
	Route       settings.RouteName
	RouteConfig settings.Route
	Service     settings.ServiceName
	Team        settings.TeamID
	Rank        int
	Revision    settings.Revision
	// Begun is where the stream has begun that the request goes on with, nil before its first event. It goes on there only.
	Begun *origin.Origin
	// Arrived is when the request was received. Deadline is the earlier of the client's deadline and the route's timeout.
	Arrived, Deadline clock.Instant
	// Memory is what the request holds, nil for no bound.
	Memory *memorybudget.Lease
	// Outbound is the request as sent to an upstream, without the header fields of a single attempt.
	Outbound upstream.Request
}

// Remaining returns the time until the deadline.
func (r *Request) Remaining(now clock.Instant) time.Duration { return r.Deadline.Sub(now) }

// maxLoggedBlocks bounds the prompt blocks in a log line.
const maxLoggedBlocks = 8

// blockList formats prompt blocks for a log line.
type blockList []call.PromptBlock

// String returns the ids of the blocks, separated by commas.
func (l blockList) String() string {
	var ids []string
	for _, b := range l[:min(len(l), maxLoggedBlocks)] {
		ids = append(ids, b.ID.String())
	}
	if len(l) > maxLoggedBlocks {
		ids = append(ids, "...")
	}
	return strings.Join(ids, ",")
}

// Sink writes the response to the client.
type Sink interface {
	// WriteHead writes the status and the header fields; length is the size of the body, or -1 if it is unknown.
	WriteHead(status int, h http.Header, length int64) error
	// Write appends to the body; flush sends the data at once, since no more has arrived yet.
	Write(data []byte, flush bool) error
}

// Codes that give the reason for an outcome.
const (
	CodeNoUpstream = "no_upstream"
	CodeOverloaded = "overloaded"
	// CodeTeamShare is for a request beyond its team's share of an overloaded service.
	CodeTeamShare   = "team_share"
	CodePaused      = "upstreams_paused"
	CodeQuarantined = "prompt_quarantined"
	// CodeRequestQuarantined is for a request that crashes the upstreams whatever its prompt.
	CodeRequestQuarantined = "request_quarantined"
	// CodeEvacuated is for a request all upstreams of which are in data centres that the operators have evacuated.
	CodeEvacuated = "evacuated"
	// CodeOriginUnknown is for a stream that may have begun at another version of the service than those that serve, CodeVersionGone
	// for one whose version no longer serves.
	CodeOriginUnknown = "origin_unknown"
	CodeVersionGone   = "version_gone"
	// CodeStopping is for a request that a stopping router has no time for.
	CodeStopping    = "stopping"
	CodeDeadline    = "deadline"
	CodeUnreachable = "unreachable"
	CodeRefused     = "refused_by_upstream"
	CodeLost        = "answer_lost"
	CodeCut         = "answer_cut"
	CodeClientGone  = "client_gone"
	CodeUpstream    = "upstream_failure"
)

// Result describes how a request ended.
type Result struct {
	Outcome    peer.Outcome
	Code       string
	RetryAfter time.Duration
	Status     int
	Upstream   settings.UpstreamID
	// Version is that of Upstream.
	Version members.Version
	// Runs is the number of attempts in which the upstream may have run the request, Attempts the number of all attempts.
	Runs, Attempts int
	// Events is the number of stream events written to the client.
	Events int
	// QueueTime is the time spent waiting for an upstream with room. FirstByte is the time from arrival to the first
	// response head.
	QueueTime, FirstByte time.Duration
	// HeadSent reports that a response head was written to the client.
	HeadSent bool
	// LastEnding is the ending of the last attempt. Choice is the placement of the last attempt.
	LastEnding attempt.Ending
	Choice     placement.Choice
	// Estimate is the output expected of the request; LongestPause is the longest time between two events. Both are 0 for a request
	// without a prompt.
	Estimate     cost.Estimate
	LongestPause time.Duration
}
