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

// Request is what requests have in common: their digest, if they are repeats of one request, and prompt blocks that others may
// share.
type Request struct {
	Digest call.RequestDigest
	Blocks []call.PromptBlock
}

// Suspect is a request that was open at an upstream when it crashed.
type Suspect struct {
	Blocks   []call.PromptBlockID
	Strength Strength
	// Digest is 0 if it is not known.
	Digest call.RequestDigest
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

// RepeatSurvivals is the number of times that one request was answered.
type RepeatSurvivals struct {
	Digest call.RequestDigest
	Count  uint16
}

// Evidence is what a router has seen of crashes and of the requests and blocks that are suspected of them.
type Evidence struct {
	Crashes   []Crash
	Survivals []Survivals
	Repeats   []RepeatSurvivals
}

// Empty reports whether there is no evidence.
func (e *Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Survivals) == 0 && len(e.Repeats) == 0
}

// WithoutDigests returns the evidence as programs know it that do not exchange digests.
func (e *Evidence) WithoutDigests() Evidence {
	out := Evidence{Survivals: e.Survivals}
	for _, c := range e.Crashes {
		var suspects []Suspect
		for _, s := range c.Suspects {
			if len(s.Blocks) > 0 {
				suspects = append(suspects, Suspect{Blocks: s.Blocks, Strength: s.Strength})
			}
		}
		if c.Suspects = suspects; len(suspects) > 0 {
			out.Crashes = append(out.Crashes, c)
		}
	}
	return out
}
