package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// maxDataCentres bounds the data centres whose evacuations are remembered. Above it, those that were taken back first are forgotten.
const maxDataCentres = 256

// Change is a new state of the order to evacuate a data centre.
type Change struct {
	DataCentre settings.DataCentre
	// Revision is the point in the directory's history at which the state was written or, for an order that is missing in a complete
	// listing, that of the listing.
	Revision members.Revision
	// Evacuated is false once the order has been taken back.
	Evacuated bool
	// Age is the time since the sender has learnt of the change, 0 in changes from the directory.
	Age time.Duration
}

// state is what is known of one data centre.
type state struct {
	revision  members.Revision
	evacuated bool
	// at is when the change was learnt, by whichever router.
	at clock.Instant
}

// Tracker keeps the evacuated data centres; its zero value is ready to use. Changes may arrive in any order and more than once, from the
// directory and from other routers: the one with the highest revision counts.
type Tracker struct {
	mu     sync.Mutex
	states map[settings.DataCentre]state
	// version counts the changes of states.
	version uint64
}

// Apply applies changes where they are newer than what is known, and returns those that evacuate a data centre or take it back.
func (t *Tracker) Apply(now clock.Instant, changes []Change) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(now, changes)
}

// Replace applies a complete listing of the orders as of a revision. A known order that is older and not listed has been taken back.
func (t *Tracker) Replace(now clock.Instant, at members.Revision, listed []Change) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Clone(listed)
	for name, s := range t.states {
		isListed := slices.ContainsFunc(listed, func(c Change) bool { return c.DataCentre == name })
		if !isListed && s.evacuated {
			all = append(all, Change{DataCentre: name, Revision: at})
		}
	}
	return t.apply(now, all)
}

func (t *Tracker) apply(now clock.Instant, changes []Change) []Change {
	var applied []Change
	for _, c := range changes {
		before, known := t.states[c.DataCentre]
		if known && c.Revision <= before.revision {
			continue
		}
		next := state{revision: c.Revision, evacuated: c.Evacuated, at: now.Add(-max(0, c.Age))}
		if known && before.evacuated == c.Evacuated {
			// An order that was only written again began when it was first known.
			next.at = before.at
		}
		if before.evacuated != c.Evacuated {
			applied = append(applied, c)
		}
		t.record(c.DataCentre, next)
	}
	return applied
}

func (t *Tracker) record(name settings.DataCentre, s state) {
	if t.states == nil {
		t.states = make(map[settings.DataCentre]state)
	}
	if _, known := t.states[name]; !known && len(t.states) >= maxDataCentres {
		t.forgetOldest()
	}
	t.states[name] = s
	t.version++
}

// forgetOldest forgets the data centre that was taken back first or, without any, the one that was evacuated first.
func (t *Tracker) forgetOldest() {
	var oldest settings.DataCentre
	for name, s := range t.states {
		first, found := t.states[oldest]
		if !found || (first.evacuated && !s.evacuated) || (first.evacuated == s.evacuated && s.at < first.at) {
			oldest = name
		}
	}
	delete(t.states, oldest)
}

// Version counts the changes that were applied.
func (t *Tracker) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Active reports whether any data centre is evacuated.
func (t *Tracker) Active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		if s.evacuated {
			return true
		}
	}
	return false
}

// Evacuated reports whether the upstreams of a data centre get no new requests.
func (t *Tracker) Evacuated(name settings.DataCentre) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.states[name].evacuated
}

// TakenBackWithin reports whether a data centre was evacuated and has been taken back less than the given time ago.
func (t *Tracker) TakenBackWithin(now clock.Instant, name settings.DataCentre, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.states[name]
	return known && !s.evacuated && s.at != 0 && now.Sub(s.at) < d
}

// Changes returns the latest change of each data centre, for other routers, sorted by name.
func (t *Tracker) Changes(now clock.Instant) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Change
	for name, s := range t.states {
		list = append(list, Change{DataCentre: name, Revision: s.revision, Evacuated: s.evacuated, Age: now.Sub(s.at)})
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}
