package quarantine

import (
	"slices"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
)

// Since returns what this router itself has seen after a change, 0 for all, and the last change.
func (t *Tracker) Since(now clock.Instant, after Change) (Evidence, Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	var e Evidence
	for p, r := range t.crashes {
		if r.changed > after {
			e.Crashes = append(e.Crashes, Crash{Upstream: p.id, Incarnation: p.incarnation, Age: now.Sub(r.at), Suspects: slices.Clone(r.own)})
		}
	}
	for _, open := range t.open {
		if s, ok := t.ownSurvivals(open); ok && s.changed > after {
			e.addSurvivals(open, s.count)
		}
	}
	return e, t.change
}

// All returns the evidence of all routers, for one that has none.
func (t *Tracker) All(now clock.Instant) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	var e Evidence
	for p, r := range t.crashes {
		e.Crashes = append(e.Crashes, Crash{Upstream: p.id, Incarnation: p.incarnation, Age: now.Sub(r.at), Suspects: slices.Clone(r.suspects)})
	}
	for _, open := range t.open {
		if n := t.survivals(open); n > 0 {
			e.addSurvivals(open, uint16(min(n, maxSurvivals)))
		}
	}
	return e
}

// addSurvivals adds the number of survivals of a trait.
func (e *Evidence) addSurvivals(t trait, n uint16) {
	if t.repeat {
		e.Repeats = append(e.Repeats, RepeatSurvivals{Digest: call.RequestDigest(t.id), Count: n})
		return
	}
	e.Survivals = append(e.Survivals, Survivals{Block: call.PromptBlockID(t.id), Count: n})
}

// Merge adds the evidence of another router.
func (t *Tracker) Merge(now clock.Instant, from inflight.RouterID, e Evidence) {
	if e.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range e.Crashes {
		if c.Age > evidenceTime {
			continue
		}
		r := t.record(process{c.Upstream, c.Incarnation}, now.Add(-max(0, c.Age)))
		for _, s := range c.Suspects {
			s.Blocks = s.Blocks[:min(len(s.Blocks), maxBlocks)]
			var isNew bool
			if r.suspects, isNew = addSuspect(r.suspects, s); isNew {
				t.suspect(now, s)
			}
		}
		if t.blocks > 2*maxTotalBlocks {
			t.expire(now)
		}
	}
	for _, s := range e.Survivals {
		t.mergeSurvivals(from, trait{id: uint64(s.Block)}, s.Count)
	}
	for _, s := range e.Repeats {
		t.mergeSurvivals(from, trait{repeat: true, id: uint64(s.Digest)}, s.Count)
	}
}

// mergeSurvivals adds the number of survivals of a trait that another router has seen. t.mu is held.
func (t *Tracker) mergeSurvivals(from inflight.RouterID, survived trait, n uint16) {
	if t.suspected[survived] == 0 {
		return
	}
	if t.others == nil {
		t.others = make(map[trait]map[inflight.RouterID]uint16)
	}
	if t.others[survived] == nil {
		t.others[survived] = make(map[inflight.RouterID]uint16)
	}
	t.others[survived][from] = max(t.others[survived][from], min(n, maxSurvivals))
	t.undecided = true
}
