package quarantine

import (
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
)

// Finding is a request or a prompt block that explains crashes.
type Finding struct {
	// Digest is that of the request, 0 for a block.
	Digest call.RequestDigest
	// Block is the block that explains the crashes best. Blocks are all blocks that the suspected prompts with Block have in common;
	// a request with all of them is quarantined.
	Block  call.PromptBlockID
	Blocks []call.PromptBlockID
	// Suspected are those of Blocks that no survivals have cleared. After several crashes, a request with many of them is quarantined too.
	Suspected []call.PromptBlockID
	// Crashes is the number of crashes that the finding explains, Survivals the number of requests that survived nevertheless.
	Crashes, Survivals int
	// Until is when the evidence will have expired.
	Until clock.Instant
	// narrowedAt is when the crash came from which on requests with only some of the suspected blocks are kept away, 0 before it. late is the
	// number of crashes later than settleTime after that.
	narrowedAt clock.Instant
	late       int
}

// match tells how a request fits a finding.
type match int

const (
	// matchesNone lets a request pass, matchesAll keeps it away. matchesSome is for one that has so many of the suspected blocks, but not all,
	// that another crash would not narrow the suspicion much.
	matchesNone match = iota
	matchesSome
	matchesAll
)

// match returns how a request with the given blocks fits the finding.
func (f *Finding) match(r Request, blocks blockSet) match {
	switch {
	case f.Digest != 0 && r.Digest == f.Digest, f.Digest == 0 && blocks.count(f.Blocks) == len(f.Blocks):
		return matchesAll
	case f.narrowedAt != 0 && narrowingParts*blocks.count(f.Suspected) > len(f.Suspected):
		return matchesSome
	}
	return matchesNone
}

// blockSet is a set of blocks. A prompt may have thousands.
type blockSet map[call.PromptBlockID]struct{}

// blockSet returns the blocks of a request.
func (r *Request) blockSet() blockSet {
	set := make(blockSet, len(r.Blocks))
	for _, b := range r.Blocks {
		set[b.ID] = struct{}{}
	}
	return set
}

// blockSet returns the blocks of a suspect.
func (s *Suspect) blockSet() blockSet {
	set := make(blockSet, len(s.Blocks))
	for _, id := range s.Blocks {
		set[id] = struct{}{}
	}
	return set
}

func (s blockSet) has(id call.PromptBlockID) bool {
	_, ok := s[id]
	return ok
}

// count returns how many of a list of blocks are in the set.
func (s blockSet) count(list []call.PromptBlockID) int {
	n := 0
	for _, id := range list {
		if s.has(id) {
			n++
		}
	}
	return n
}
