package call

import (
	"strconv"
	"time"

	"rattantrack.dev/core/settings"
)

// ID identifies one request of a client through all its attempts.
type ID string

// PromptBlockID identifies a part of a prompt; requests with the same part share its tokens.
type PromptBlockID uint64

// String returns the id in hexadecimal.
func (p PromptBlockID) String() string { return strconv.FormatUint(uint64(p), 16) }

// PromptBlock is one part of a prompt, in order from its start.
type PromptBlock struct {
	ID     PromptBlockID
	Tokens settings.Tokens
}

// Request is what a client says of its request.
type Request struct {
	ID ID
	// Timeout is how long the client waits, 0 where it does not say.
	Timeout time.Duration
	// APIKey is the client's API key, empty for none.
	APIKey string
	// PromptBlocks are the parts of the prompt, of which the last belongs to the request or its session.
	PromptBlocks []PromptBlock
	// PromptTokens and MaxTokens are the sizes of the prompt and, at most, of the answer.
	PromptTokens settings.Tokens
	MaxTokens    settings.Tokens
	// LastEvent is the id of the last event that the client has of an earlier answer, empty for none.
	LastEvent EventID
}

// EventID is the id of an event of a stream.
type EventID string

// SharedTokens returns the tokens of the parts that other requests may share.
func (r *Request) SharedTokens() settings.Tokens {
	var sum settings.Tokens
	for i := 0; i+1 < len(r.PromptBlocks); i++ {
		sum += r.PromptBlocks[i].Tokens
	}
	return sum
}

// SharedBlockID returns the id of the last part that other requests may share, 0 for none.
func (r *Request) SharedBlockID() PromptBlockID {
	if len(r.PromptBlocks) < 2 {
		return 0
	}
	return r.PromptBlocks[len(r.PromptBlocks)-2].ID
}

// Attempt is what an upstream is told of one attempt.
type Attempt struct {
	// Upstream is the instance that is meant; another one at its address must refuse.
	Upstream settings.UpstreamID
	// Timeout is how long the upstream may work.
	Timeout time.Duration
	// Team owns the client's key, empty on public routes.
	Team settings.TeamID
	// LastEvent is the event after which a stream goes on, empty for a whole answer.
	LastEvent EventID
	// Rank is the urgency of the request, where 0 is the most urgent.
	Rank int
}

// Load is what an upstream says of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what an upstream says beside the status and the body.
type Answer struct {
	// ID is the request that is answered, empty where the upstream does not say.
	ID ID
	// NotRun is the upstream's statement that it did not run the request and will not.
	NotRun bool
	// Misdirected says that another instance has the address.
	Misdirected bool
	// Load is the upstream's load, nil where it does not say.
	Load *Load
	// IdleTime is how long the upstream keeps the connection without use, 0 where it does not say.
	IdleTime time.Duration
}
