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
	// minGap separates crashes that count. Crashes that come together, such as a power failure, are one event, whatever the
	// prompts of the requests that were open.
	minGap = 100 * time.Millisecond
	// evidenceTime is how long a crash speaks against the block that explains it.
	evidenceTime = 5 * time.Minute
	// maxFindings bounds the quarantined blocks.
	maxFindings = 64
)

// Finding is a prompt block that explains crashes.
type Finding struct {
	// Block is the block that explains them best. Blocks are all blocks that the suspected prompts with Block have in common; a
	// request with all of them is quarantined.
	Block  call.PromptBlockID
	Blocks []call.PromptBlockID
	// Crashes is the number of crashes that the finding explains, Survivals the number of requests with Block that survived.
	Crashes, Survivals int
	// Until is when the evidence will have expired.
	Until clock.Instant
}

// matches reports whether a prompt has all blocks of the finding.
func (f *Finding) matches(blocks []call.PromptBlock) bool {
	for _, id := range f.Blocks {
		if !slices.ContainsFunc(blocks, func(b call.PromptBlock) bool { return b.ID == id }) {
			return false
		}
	}
	return true
}

// crash is a crash with the instant at which it became known.
type crash struct {
	at       clock.Instant
	suspects []Suspect
	// explained means that a finding explains the crash.
	explained bool
}

// support is a crash that counts against a block.
type support struct {
	at       clock.Instant
	strength int
}

// candidate is the evidence against one block.
type candidate struct {
	block    call.PromptBlockID
	supports []support
	strength int
	// position is the largest index of the block in a suspected prompt.
	position  int
	survivals int
}

// margin is by how much the crashes outweigh the survivals.
func (c *candidate) margin() int { return c.strength - strengthPerSurvival*c.survivals }

// rate estimates the share of the requests with the block that crash an upstream.
func (c *candidate) rate() float64 {
	n := float64(len(c.supports))
	return n / (n + float64(c.survivals) + 0.5)
}

// compare orders candidates by how well they explain the crashes. Of two that do so equally, the one later in the prompts comes
// first: fewer prompts have it.
func compare(a, b *candidate) int {
	return cmp.Or(cmp.Compare(b.rate(), a.rate()), cmp.Compare(b.strength, a.strength), cmp.Compare(b.position, a.position),
		cmp.Compare(a.block, b.block))
}

// decide returns the blocks that explain the crashes, which must be sorted by time, and marks the crashes that they explain. The
// block that explains them best is found first. Its crashes then count against no other block, since a block that all prompts of
// a service share is in the prompts of many victims. It also returns the blocks whose survivals could change the decision.
func decide(crashes []*crash, survivals func(call.PromptBlockID) int) (findings []Finding, open []call.PromptBlockID) {
	for _, c := range crashes {
		c.explained = false
	}
	for len(findings) < maxFindings {
		var found []*candidate
		open = open[:0]
		for _, c := range candidates(crashes, survivals) {
			if c.margin() >= minStrength {
				found = append(found, c)
			}
			// Survivals are of use until they clearly outweigh the crashes.
			if c.strength > minStrength/2 && c.survivals <= c.strength {
				open = append(open, c.block)
			}
		}
		if len(found) == 0 {
			break
		}
		findings = append(findings, explain(crashes, slices.MinFunc(found, compare)))
	}
	for i := range findings {
		open = append(open, findings[i].Block)
	}
	return findings, open
}

// candidates returns the evidence against each block, by the crashes that are not explained yet.
func candidates(crashes []*crash, survivals func(call.PromptBlockID) int) []*candidate {
	byBlock := make(map[call.PromptBlockID]*candidate)
	for _, c := range crashes {
		if c.explained {
			continue
		}
		strengths := make(map[call.PromptBlockID]Strength)
		for _, s := range c.suspects {
			for position, block := range s.Blocks {
				strengths[block] = max(strengths[block], s.Strength)
				if byBlock[block] == nil {
					byBlock[block] = &candidate{block: block, survivals: survivals(block)}
				}
				byBlock[block].position = max(byBlock[block].position, position)
			}
		}
		for block, strength := range strengths {
			candidate := byBlock[block]
			if n := len(candidate.supports); n > 0 && c.at.Sub(candidate.supports[n-1].at) < minGap {
				continue
			}
			candidate.supports = append(candidate.supports, support{at: c.at, strength: int(strength)})
			candidate.strength += int(strength)
		}
	}
	return slices.Collect(maps.Values(byBlock))
}

// explain returns the finding for a candidate and marks the crashes that it explains.
func explain(crashes []*crash, best *candidate) Finding {
	f := Finding{Block: best.block, Survivals: best.survivals}
	for _, c := range crashes {
		if c.explained {
			continue
		}
		for _, s := range c.suspects {
			if !slices.Contains(s.Blocks, best.block) {
				continue
			}
			if !c.explained {
				c.explained = true
				f.Crashes++
			}
			if f.Blocks == nil {
				f.Blocks = slices.Clone(s.Blocks)
				continue
			}
			f.Blocks = slices.DeleteFunc(f.Blocks, func(id call.PromptBlockID) bool { return !slices.Contains(s.Blocks, id) })
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
