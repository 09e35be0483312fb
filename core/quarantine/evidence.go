package quarantine

import (
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Strength says how much a crash speaks against a request that was open at the upstream.
type Strength uint8

// Strengths of suspicion.
const (
	// Weak is for a request without a response yet, whose answer may have begun unnoticed, and for one whose answer had
	// begun shortly before and got somewhere.
	Weak Strength = 1
	// Strong is for a request whose answer had just begun, without any complete part of it.
	Strong Strength = 2
)

// Suspect is the prompt of a request that an upstream had just begun to answer when it crashed, without the last block, which
// belongs to one request or session alone.
type Suspect struct {
	Blocks   []call.PromptBlockID
	Strength Strength
}

// Crash is the end of one process of an upstream, with the requests under which it may have crashed.
type Crash struct {
	Upstream    settings.UpstreamID
	Incarnation members.Incarnation
	// Age is the time since the crash.
	Age      time.Duration
	Suspects []Suspect
}

// Survivals is the number of requests with a block whose answers went past their beginning.
type Survivals struct {
	Block call.PromptBlockID
	Count uint16
}

// Evidence is what a router has seen of crashes and of the blocks that are suspected of them.
type Evidence struct {
	Crashes   []Crash
	Survivals []Survivals
}
