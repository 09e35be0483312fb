package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
)

// Thresholds of a decision.
const (
	// minStrength is the sum of suspicions above which a block is quarantined: three crashes under answers that had just begun.
	minStrength = 3 * int(Strong)
	// strengthPerSurvival is how much one request that survived lowers the sum.
	strengthPerSurvival = int(Strong)
	// minGap separates crashes that count against a block. Crashes that come together, such as a power failure, are one event,
	// whatever the prompts of the requests that were open. One request is open at several upstreams only if it was sent again.
	minGap = 100 * time.Millisecond
	// evidenceTime is how long a crash speaks against the block that explains it.
	evidenceTime = 5 * time.Minute
	// maxFindings bounds the quarantined blocks.
	maxFindings = 64
	// minNarrowing is the number of crashes from which on requests are kept away that have only some of the suspected blocks.
	// narrowingParts is into how many parts one more crash narrows the suspicion at least, so that few find the block.
	minNarrowing   = 5
	narrowingParts = 4
	// clearingSurvivals is by how many survivals more a block is cleared that is in all crashed prompts.
	clearingSurvivals = 2
)

// crash is a crash with the instant at which it became known.
type crash struct {
	at       clock.Instant
	suspects []Suspect
	// explained means that a finding explains the crash.
	explained bool
}

// trait is what requests may have in common.
type trait struct {
	// repeat means that id is a digest, which only repeats of one request share; otherwise it is a prompt block.
	repeat bool
	id     uint64
}

// traits returns the traits of a suspect in the order of the prompt, and the digest last.
func (s *Suspect) traits() []trait {
	list := make([]trait, 0, len(s.Blocks)+1)
	for _, id := range s.Blocks {
		list = append(list, trait{id: uint64(id)})
	}
	if s.Digest != 0 {
		list = append(list, trait{repeat: true, id: uint64(s.Digest)})
	}
	return list
}

// has reports whether the suspect has a trait.
func (s *Suspect) has(t trait) bool {
	if t.repeat {
		return uint64(s.Digest) == t.id
	}
	return slices.Contains(s.Blocks, call.PromptBlockID(t.id))
}

// has reports whether a suspect of the crash has a trait.
func (c *crash) has(t trait) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return s.has(t) })
}

// blocks returns the number of blocks of all suspects.
func (c *crash) blocks() int {
	n := 0
	for i := range c.suspects {
		n += len(c.suspects[i].Blocks)
	}
	return n
}

// commonBlocks returns the blocks that the suspects with a trait have in common with blocks, or with each other if blocks is nil.
func (c *crash) commonBlocks(t trait, blocks []call.PromptBlockID) []call.PromptBlockID {
	for _, s := range c.suspects {
		switch {
		case !s.has(t):
		case blocks == nil:
			blocks = slices.Clone(s.Blocks)
		default:
			held := s.blockSet()
			blocks = slices.DeleteFunc(blocks, func(id call.PromptBlockID) bool { return !held.has(id) })
		}
	}
	return blocks
}

// support is a crash that counts against a trait.
type support struct {
	at       clock.Instant
	strength int
}

// candidate is the evidence against one trait.
type candidate struct {
	trait    trait
	supports []support
	strength int
	// position is the largest index of the trait in a suspected request.
	position  int
	survivals int
}

// margin is by how much the crashes outweigh the survivals.
func (c *candidate) margin() int { return c.strength - strengthPerSurvival*c.survivals }

// ties reports whether the evidence does not tell two requests apart. Then both are kept away: another crash would end all requests
// at one more upstream.
func (c *candidate) ties(other *candidate) bool {
	return c.trait.repeat && other.trait.repeat && c.survivals == other.survivals && slices.Equal(c.supports, other.supports)
}

// rate estimates the share of the requests with the trait that crash an upstream.
func (c *candidate) rate() float64 {
	n := float64(len(c.supports))
	return n / (n + float64(c.survivals) + 0.5)
}

// compare orders candidates by how well they explain the crashes. Of two that do so equally, the digest comes first and then the
// block later in the prompts: fewer requests have it.
func compare(a, b *candidate) int {
	return cmp.Or(cmp.Compare(b.rate(), a.rate()), cmp.Compare(b.strength, a.strength), cmp.Compare(b.position, a.position),
		cmp.Compare(a.trait.id, b.trait.id))
}

// decide returns the traits that explain the crashes, which must be sorted by time, and marks the crashes that they explain. The
// trait that explains them best is found first. Its crashes then count against no other one, since a block that all prompts of
// a service share is in the prompts of many victims. It also returns the traits whose survivals the decision depends on, at this router or at
// one that has seen none of them. Traits that are not common cannot be found.
func decide(crashes []*crash, isCommon func(trait) bool, survivals func(trait) int) (findings []Finding, open []trait) {
	for _, c := range crashes {
		c.explained = false
	}
	for len(findings) < maxFindings {
		var found []*candidate
		for _, c := range candidates(crashes, isCommon, survivals) {
			if c.margin() >= minStrength {
				found = append(found, c)
			}
			// A router that has not seen the survivals needs them, however clear the decision is here.
			if len(findings) == 0 && c.strength > minStrength/2 {
				open = append(open, c.trait)
			}
		}
		if len(found) == 0 {
			break
		}
		best := slices.MinFunc(found, compare)
		for _, c := range found {
			if c == best || c.ties(best) {
				findings = append(findings, explain(crashes, c, survivals))
			}
		}
		for _, c := range crashes {
			c.explained = c.explained || c.has(best.trait)
		}
	}
	return findings, open
}

// candidates returns the evidence against each common trait, by the crashes that are not explained yet.
func candidates(crashes []*crash, isCommon func(trait) bool, survivals func(trait) int) []*candidate {
	byTrait := make(map[trait]*candidate)
	for _, c := range crashes {
		if c.explained {
			continue
		}
		strengths := make(map[trait]Strength)
		for i := range c.suspects {
			for position, t := range c.suspects[i].traits() {
				if !isCommon(t) {
					continue
				}
				strength := c.suspects[i].Strength
				if t.repeat {
					// Nothing else that was open comes again, so a repeat needs no sign of the time of the crash.
					strength = Strong
				}
				strengths[t] = max(strengths[t], strength)
				if byTrait[t] == nil {
					byTrait[t] = &candidate{trait: t, survivals: survivals(t)}
				}
				byTrait[t].position = max(byTrait[t].position, position)
			}
		}
		for t, strength := range strengths {
			candidate := byTrait[t]
			if n := len(candidate.supports); !t.repeat && n > 0 && c.at.Sub(candidate.supports[n-1].at) < minGap {
				continue
			}
			candidate.supports = append(candidate.supports, support{at: c.at, strength: int(strength)})
			candidate.strength += int(strength)
		}
	}
	return slices.Collect(maps.Values(byTrait))
}

// explain returns the finding for a candidate.
func explain(crashes []*crash, best *candidate, survivals func(trait) int) Finding {
	f := Finding{Survivals: best.survivals}
	if best.trait.repeat {
		f.Digest = call.RequestDigest(best.trait.id)
	} else {
		f.Block = call.PromptBlockID(best.trait.id)
	}
	for _, c := range crashes {
		if c.explained || !c.has(best.trait) {
			continue
		}
		f.Crashes++
		if best.trait.repeat {
			continue
		}
		f.Blocks = c.commonBlocks(best.trait, f.Blocks)
		switch {
		case f.Crashes == minNarrowing:
			f.narrowedAt = c.at
		case f.Crashes > minNarrowing && c.at.Sub(f.narrowedAt) > settleTime:
			f.late++
		}
	}
	for _, id := range f.Blocks {
		if survivals(trait{id: uint64(id)}) < best.survivals+clearingSurvivals {
			f.Suspected = append(f.Suspected, id)
		}
	}
	// The finding holds as long as the newest crashes suffice for it.
	needed := minStrength + strengthPerSurvival*best.survivals
	for _, s := range slices.Backward(best.supports) {
		f.Until = s.at.Add(evidenceTime)
		if needed -= s.strength; needed <= 0 {
			break
		}
	}
	return f
}
