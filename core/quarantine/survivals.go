package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/clock"
)

// Bounds of the counted survivals.
const (
	// maxSeen bounds the blocks and digests whose survivals this router counts.
	maxSeen = 8192
	// maxSurvivals bounds the counted survivals of a trait at one router, maxPriorSurvivals those before its first crash: a block
	// may begin to crash upstreams at any time, for example with a new version of theirs.
	maxSurvivals      = 16
	maxPriorSurvivals = 2
	// priorTime is how long a survival before the first crash counts.
	priorTime = 10 * time.Second
)

// seen holds the survivals of a trait that this router has seen.
type seen struct {
	count   uint16
	last    clock.Instant
	changed Change
}

// RecordSurvival records that the answer to a request has gone past its beginning.
func (t *Tracker) RecordSurvival(now clock.Instant, req Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own == nil {
		// NewLRU fails only for a size below one.
		t.own, _ = simplelru.NewLRU[trait, *seen](maxSeen, nil)
	}
	for _, b := range req.Blocks {
		t.recordSurvival(now, trait{id: uint64(b.ID)})
	}
	if req.Digest != 0 {
		t.recordSurvival(now, trait{repeat: true, id: uint64(req.Digest)})
	}
}

// recordSurvival counts a survival of one trait. t.mu is held.
func (t *Tracker) recordSurvival(now clock.Instant, survived trait) {
	s, ok := t.own.Get(survived)
	if !ok {
		s = &seen{}
		t.own.Add(survived, s)
	}
	limit := uint16(maxSurvivals)
	if t.suspected[survived] == 0 {
		limit = maxPriorSurvivals
		s.count = min(s.count, limit)
		if now.Sub(s.last) > priorTime {
			s.count = 0
		}
	}
	s.last = now
	if s.count >= limit {
		return
	}
	s.count++
	if t.suspected[survived] > 0 {
		t.change++
		s.changed = t.change
		t.undecided = true
	}
}

func (t *Tracker) ownSurvivals(tr trait) (*seen, bool) {
	if t.own == nil {
		return nil, false
	}
	return t.own.Peek(tr)
}

// survivals returns the number of survivals of a suspected trait at all routers. t.mu is held.
func (t *Tracker) survivals(tr trait) int {
	n := 0
	if s, ok := t.ownSurvivals(tr); ok {
		n = int(s.count)
	}
	for _, count := range t.others[tr] {
		n += int(count)
	}
	return n
}

// reportSurvivals marks the survivals of the traits that have become open as changed, so that the other routers are told of them.
// t.mu is held.
func (t *Tracker) reportSurvivals(before []trait) {
	known := make(map[trait]bool, len(before))
	for _, tr := range before {
		known[tr] = true
	}
	for _, open := range t.open {
		if s, ok := t.ownSurvivals(open); ok && !known[open] {
			t.change++
			s.changed = t.change
		}
	}
}
