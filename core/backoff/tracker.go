package backoff

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Limits of the pauses.
const (
	// maxPause bounds one pause, so that a wrong value does not take an upstream out of use for good.
	maxPause = 10 * time.Minute
	// minSpread is the shortest time over which the return of refused clients is spread.
	minSpread = 500 * time.Millisecond
	// spreadShare is the part of the pause over which the return of refused clients is spread, if that is longer.
	spreadShare = 0.5
	// maxPauses bounds the remembered pauses; the shortest go first.
	maxPauses = 8192
)

// pause is when one process of an upstream wants requests again.
type pause struct {
	incarnation members.Incarnation
	until       clock.Instant
}

// Tracker holds the pauses that upstreams have asked this router for; its zero value is empty and ready to use. It answers the
// load of a service whose upstreams are all overloaded and turn requests away: the router stops sending instead of trying one
// upstream after the other, and tells its clients when the first upstream wants requests again.
type Tracker struct {
	mu     sync.Mutex
	pauses map[settings.UpstreamID]pause
}

// Record records that an upstream asked for a pause now, and returns when it ends. A pause never ends earlier than one that the
// same process asked for before.
func (t *Tracker) Record(now clock.Instant, inst members.Instance, d time.Duration) clock.Instant {
	if d <= 0 {
		return now
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pauses == nil {
		t.pauses = make(map[settings.UpstreamID]pause)
	}
	t.expire(now)
	p := pause{incarnation: inst.Incarnation, until: now.Add(min(d, maxPause))}
	if old := t.pauses[inst.ID]; old.incarnation == p.incarnation {
		p.until = max(p.until, old.until)
	}
	t.pauses[inst.ID] = p
	return p.until
}

// expire drops the pauses that have ended and, above maxPauses, the one that ends first.
func (t *Tracker) expire(now clock.Instant) {
	if len(t.pauses) < maxPauses {
		return
	}
	var first settings.UpstreamID
	for id, p := range t.pauses {
		if p.until <= now {
			delete(t.pauses, id)
			continue
		}
		if first == "" || p.until < t.pauses[first].until {
			first = id
		}
	}
	if len(t.pauses) >= maxPauses {
		delete(t.pauses, first)
	}
}

// Paused reports, for each instance in the given order, whether it wants no requests now. soonest is the time until the first
// of them wants requests again if all want none, else 0.
func (t *Tracker) Paused(now clock.Instant, list []members.Instance) (paused []bool, soonest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused = make([]bool, len(list))
	if len(t.pauses) == 0 {
		return paused, 0
	}
	for i := range list {
		p, ok := t.pauses[list[i].ID]
		if !ok || p.incarnation != list[i].Incarnation || p.until <= now {
			continue
		}
		paused[i] = true
		if left := p.until.Sub(now); soonest == 0 || left < soonest {
			soonest = left
		}
	}
	if slices.Contains(paused, false) {
		soonest = 0
	}
	return paused, soonest
}

// RetryAfter returns when a refused client should come back if the first upstream wants requests again after the given time.
// random in [0, 1) spreads the clients, so that they do not return together.
func RetryAfter(soonest time.Duration, random float64) time.Duration {
	spread := max(minSpread, time.Duration(spreadShare*float64(soonest)))
	return soonest + time.Duration(random*float64(spread))
}

// Status is one pause in a dump.
type Status struct {
	ID     settings.UpstreamID `json:"id"`
	LeftMS int64               `json:"left_ms"`
}

// Status returns the pauses that have not ended, sorted by id.
func (t *Tracker) Status(now clock.Instant) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Status
	for id, p := range t.pauses {
		if p.until > now {
			list = append(list, Status{ID: id, LeftMS: p.until.Sub(now).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
