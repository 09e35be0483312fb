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
	for _, block := range t.open {
		if s, ok := t.ownSurvivals(block); ok && s.changed > after {
			e.Survivals = append(e.Survivals, Survivals{Block: block, Count: s.count})
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
	for _, block := range t.open {
		if n := t.survivals(block); n > 0 {
			e.Survivals = append(e.Survivals, Survivals{Block: block, Count: uint16(min(n, maxSurvivals))})
		}
	}
	return e
}

// Merge adds the evidence of another router.
func (t *Tracker) Merge(now clock.Instant, from inflight.RouterID, e Evidence) {
	if len(e.Crashes) == 0 && len(e.Survivals) == 0 {
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
	}
	for _, s := range e.Survivals {
		if !t.suspected[s.Block] {
			continue
		}
		if t.others == nil {
			t.others = make(map[call.PromptBlockID]map[inflight.RouterID]uint16)
		}
		if t.others[s.Block] == nil {
			t.others[s.Block] = make(map[inflight.RouterID]uint16)
		}
		t.others[s.Block][from] = max(t.others[s.Block][from], min(s.Count, maxSurvivals))
		t.undecided = true
	}
}
