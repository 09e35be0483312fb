package quarantine

import (
	"slices"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Bounds of what is remembered of crashes.
const (
	// unexplainedTime is how long a crash is remembered that nothing explains.
	unexplainedTime = time.Minute
	// maxCrashes bounds the remembered crashes, maxSuspects the requests of one crash.
	maxCrashes  = 256
	maxSuspects = 64
	// maxBlocks bounds the remembered blocks of one prompt, maxCrashBlocks those of the suspects of one crash, and maxTotalBlocks those of
	// all crashes. Most prompts have few blocks, but any of a long chat's may be the one that crashes upstreams.
	maxBlocks      = 4096
	maxCrashBlocks = 8192
	maxTotalBlocks = 128 << 10
	// minSuspects is the number of suspects with a trait from which on it can matter. Most digests are in one suspect only.
	minSuspects = 2
	// crashSpread bounds the time between the reports of one crash. A process that ends connections over a longer time has crashed
	// with the last of them, if at all.
	crashSpread = time.Second
)

// process identifies one process of an upstream.
type process struct {
	id          settings.UpstreamID
	incarnation members.Incarnation
}

// record is a crash with the part of it that this router has seen itself.
type record struct {
	crash
	own []Suspect
	// changed is the number of the change that added the last of own.
	changed Change
}

// RecordCrash records that an upstream ended the connection of a request at the beginning of its answer or before it.
func (t *Tracker) RecordCrash(now clock.Instant, inst members.Instance, req Request, strength Strength) {
	if len(req.Blocks) == 0 && req.Digest == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect := Suspect{Blocks: blockIDs(req.Blocks), Strength: strength, Digest: req.Digest}
	r := t.record(process{inst.ID, inst.Incarnation}, now)
	r.suspects, _ = addSuspect(r.suspects, suspect)
	var isNew bool
	if r.own, isNew = addSuspect(r.own, suspect); !isNew {
		return
	}
	t.change++
	r.changed = t.change
	t.suspect(now, suspect)
	select {
	case t.wakeChannel() <- struct{}{}:
	default:
	}
}

// record returns the record of a crash and adds it if it is new. t.mu is held.
func (t *Tracker) record(p process, at clock.Instant) *record {
	if t.crashes == nil {
		t.crashes = make(map[process]*record)
	}
	r := t.crashes[p]
	if r == nil {
		r = &record{crash: crash{at: at}}
		t.crashes[p] = r
	}
	if at.Sub(r.at) > crashSpread {
		r.at = at
	}
	if expiry := r.at.Add(unexplainedTime); t.expiry == 0 || expiry < t.expiry {
		t.expiry = expiry
	}
	return r
}

// suspect counts the traits of a suspected request. t.mu is held.
func (t *Tracker) suspect(now clock.Instant, suspect Suspect) {
	if t.suspected == nil {
		t.suspected = make(map[trait]int)
	}
	for _, tr := range suspect.traits() {
		t.suspected[tr]++
		if t.suspected[tr] >= minSuspects {
			t.undecided = true
			continue
		}
		if s, ok := t.ownSurvivals(tr); ok && now.Sub(s.last) > priorTime {
			s.count = 0
		}
	}
	t.blocks += len(suspect.Blocks)
	if len(t.crashes) > maxCrashes || t.blocks > maxTotalBlocks {
		t.undecided = true
	}
}

// addSuspect adds a request unless it is listed, in place of the oldest ones if the list is full, and reports whether the list has changed.
func addSuspect(list []Suspect, s Suspect) ([]Suspect, bool) {
	for i := range list {
		if list[i].Digest != s.Digest || !slices.Equal(list[i].Blocks, s.Blocks) {
			continue
		}
		if list[i].Strength >= s.Strength {
			return list, false
		}
		list[i].Strength = s.Strength
		return list, true
	}
	blocks := len(s.Blocks)
	for i := range list {
		blocks += len(list[i].Blocks)
	}
	for len(list) >= maxSuspects || (len(list) > 0 && blocks > maxCrashBlocks) {
		blocks -= len(list[0].Blocks)
		list = slices.Delete(list, 0, 1)
	}
	return append(list, s), true
}

// blockIDs returns the ids of at most maxBlocks blocks.
func blockIDs(blocks []call.PromptBlock) []call.PromptBlockID {
	ids := make([]call.PromptBlockID, 0, min(len(blocks), maxBlocks))
	for _, b := range blocks[:min(len(blocks), maxBlocks)] {
		ids = append(ids, b.ID)
	}
	return ids
}

// lifetime returns how long a crash is remembered.
func lifetime(c *crash) time.Duration {
	if c.explained {
		return evidenceTime
	}
	return unexplainedTime
}

// expire drops the crashes that have expired and, above maxCrashes or maxTotalBlocks, the oldest, those without an explanation first.
// Survivals are dropped with the crashes that their traits are suspected of. t.mu is held.
func (t *Tracker) expire(now clock.Instant) {
	t.expiry, t.blocks = 0, 0
	for p, r := range t.crashes {
		at := r.at.Add(lifetime(&r.crash))
		if at <= now {
			delete(t.crashes, p)
			continue
		}
		if t.expiry == 0 || at < t.expiry {
			t.expiry = at
		}
		t.blocks += r.blocks()
	}
	for len(t.crashes) > maxCrashes || t.blocks > maxTotalBlocks {
		var oldest process
		var first *record
		for p, r := range t.crashes {
			if first == nil || (r.explained == first.explained && r.at < first.at) || (!r.explained && first.explained) {
				oldest, first = p, r
			}
		}
		delete(t.crashes, oldest)
		t.blocks -= first.blocks()
	}
	clear(t.suspected)
	for _, r := range t.crashes {
		for i := range r.suspects {
			for _, tr := range r.suspects[i].traits() {
				t.suspected[tr]++
			}
		}
	}
	for tr := range t.others {
		if t.suspected[tr] == 0 {
			delete(t.others, tr)
		}
	}
}
