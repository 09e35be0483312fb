package call

import (
	"net/http"
	"strconv"
	"time"

	"rattantrack.dev/core/settings"
)

// ID identifies a client's request in all its attempts.
type ID string

// PromptBlockID identifies a prompt block; prompts with the same block have its tokens in common.
type PromptBlockID uint64

// String returns the id in hexadecimal.
func (p PromptBlockID) String() string { return strconv.FormatUint(uint64(p), 16) }

// PromptBlock is a block of consecutive tokens of a prompt.
type PromptBlock struct {
	ID     PromptBlockID
	Tokens settings.Tokens
}

// Request holds the properties of a request that its client states.
type Request struct {
	ID ID
	// Timeout is how long the client waits, 0 if not stated.
	Timeout time.Duration
	// APIKey is the client's API key, empty for none.
	APIKey string
	// PromptBlocks lists the blocks of the prompt from its start. The last one belongs to this request or its session alone.
	PromptBlocks []PromptBlock
	// PromptTokens is the size of the prompt, MaxTokens the maximum size of the answer.
	PromptTokens settings.Tokens
	MaxTokens    settings.Tokens
	// ExpectedTokens is the client's estimate of the size of the answer, 0 if not stated.
	ExpectedTokens settings.Tokens
	// Malformed is a field that was left out of account because it is malformed, nil for none.
	Malformed *MalformedField
	// LastEvent is the id of the last event that the client received of an earlier answer, empty for none.
	LastEvent EventID
	// FirstAttempt is the id of the client's attempt that brought the first event of the stream which is to go on, empty if not stated.
	FirstAttempt ID
	// Digest identifies the content of the request.
	Digest RequestDigest
}

// ContinuesStream reports whether the client already has events of the stream.
func (r *Request) ContinuesStream() bool { return r.LastEvent != "" || r.FirstAttempt != "" }

// OwnBlock returns the last block of the prompt, zero for a prompt without blocks.
func (r *Request) OwnBlock() PromptBlock {
	if len(r.PromptBlocks) == 0 {
		return PromptBlock{}
	}
	return r.PromptBlocks[len(r.PromptBlocks)-1]
}

// EventID identifies an event of a stream.
type EventID string

// SharedTokens returns the number of tokens in all blocks but the last, which other requests may share.
func (r *Request) SharedTokens() settings.Tokens {
	var sum settings.Tokens
	for i := 0; i+1 < len(r.PromptBlocks); i++ {
		sum += r.PromptBlocks[i].Tokens
	}
	return sum
}

// SharedBlockID returns the id of the last block that other requests may share, 0 for none.
func (r *Request) SharedBlockID() PromptBlockID {
	if len(r.PromptBlocks) < 2 {
		return 0
	}
	return r.PromptBlocks[len(r.PromptBlocks)-2].ID
}

// Attempt holds the properties of an attempt that are sent to the upstream.
type Attempt struct {
	// Upstream is the intended instance; another instance at the same address must refuse the request.
	Upstream settings.UpstreamID
	// Timeout is how long the upstream may work on the request.
	Timeout time.Duration
	// Team is the owner of the client's API key, empty on public routes.
	Team settings.TeamID
	// LastEvent is the event after which the stream is to resume, empty for a complete answer.
	LastEvent EventID
	// Rank is the urgency of the request, where 0 is the most urgent.
	Rank int
}

// Rate is a number of requests per second.
type Rate float64

// MalformedField is a header field that cannot be read and does not fail its message. Value is cut to a bounded length.
type MalformedField struct {
	Name, Value string
}

// Load is the load that an upstream reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the upstream's VM at the moment, as a multiple of the usual time; 0 if not stated.
	Slowdown float64
}

// Answer holds what an upstream states in its answer besides the status and the body.
type Answer struct {
	// ID is the id of the answered request, empty if not stated.
	ID ID
	// NotRun means that the upstream did not run the request and will not.
	NotRun bool
	// Misdirected means that another instance than the intended one is at the address.
	Misdirected bool
	// Load is the upstream's load, nil if not stated.
	Load *Load
	// Malformed is a field that could not be read, nil for none.
	Malformed *MalformedField
	// Leaving means that the upstream is about to end and wants no further requests.
	Leaving bool
	// RetryAfter is the pause that an upstream which turned the request away wants from this router, 0 for none.
	RetryAfter time.Duration
	// RateLimit is the rate of requests that an overloaded upstream takes from all routers together, nil if not stated.
	RateLimit *Rate
	// Cold is how much longer the upstream is cold, 0 if it is not or does not state it.
	Cold time.Duration
	// IdleTime is how long the upstream keeps an idle connection open, 0 if not stated.
	IdleTime time.Duration
}

// ImpliesNotRun reports whether a status tells the client that its request was not run and will not be.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
